#include "hyssopspar/store/stream_follower.h"

#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogPart = "store";
/// Time beyond the store's own wait after which a read is given up.
constexpr milliseconds kReadLimit{800};
constexpr milliseconds kRetryPause{150};

}  // namespace

StreamFollower::StreamFollower(KeyedLog* log,
                               DecisionLoop* loop,
                               Partition partition,
                               FollowerSettings settings,
                               FollowerSink sink)
    : m_log(log),
      m_loop(loop),
      m_partition(std::move(partition)),
      m_settings(settings),
      m_sink(std::move(sink)) {}

void StreamFollower::Start() {
  m_pages.clear();
  LoadPage("", Clock::now());
}

void StreamFollower::Stop() {
  m_stopped = true;
}

void StreamFollower::LoadPage(const std::string& after_key,
                              TimePoint first_sent) {
  m_log->Newest(m_partition, after_key, Clock::now() + kReadLimit,
                [self = shared_from_this(), loop = m_loop,
                 first_sent](Result<KeyedPage> page) {
                  loop->Post([self, first_sent, page = std::move(page)] {
                    self->OnPage(page, first_sent);
                  });
                });
}

void StreamFollower::OnPage(const Result<KeyedPage>& page,
                            TimePoint first_sent) {
  if (m_stopped) {
    return;
  }
  if (!page) {
    Retry(page.error());
    return;
  }
  NoteContact();
  // Pages are not a snapshot: what was appended while they were read follows.
  if (m_pages.empty()) {
    m_next = page.value().m_end;
  }
  m_pages.insert(m_pages.end(), page.value().m_records.begin(),
                 page.value().m_records.end());
  if (page.value().m_more && !page.value().m_records.empty()) {
    LoadPage(page.value().m_records.back().m_key, first_sent);
    return;
  }
  m_loaded = true;
  m_verified = first_sent;
  m_sink.m_snapshot(std::exchange(m_pages, {}));
  if (!m_stopped) {
    ReadOn();
  }
}

milliseconds StreamFollower::Wait() const {
  return m_settings.m_pause > milliseconds(0) ? milliseconds(0)
                                              : m_settings.m_wait;
}

void StreamFollower::ReadOn() {
  const TimePoint now = Clock::now();
  const milliseconds wait = Wait();
  m_log->Read(m_partition, m_next, wait, now + wait + kReadLimit,
              [self = shared_from_this(), loop = m_loop,
               now](Result<KeyedSlice> slice) {
                loop->Post([self, now, slice = std::move(slice)] {
                  self->OnSlice(slice, now);
                });
              });
}

void StreamFollower::OnSlice(const Result<KeyedSlice>& slice, TimePoint sent) {
  if (m_stopped) {
    return;
  }
  if (!slice) {
    Retry(slice.error());
    return;
  }
  NoteContact();
  if (slice.value().m_gap) {
    Log(kLogPart)->info("history-dropped stream={} partition={} from={}",
                        m_partition.m_stream, m_partition.m_number, m_next);
    Start();
    return;
  }
  m_next = slice.value().m_next;
  if (m_next >= slice.value().m_end) {
    // The store answers without records only after it has waited.
    m_verified = slice.value().m_records.empty() ? sent + Wait() : sent;
  }
  if (!slice.value().m_records.empty()) {
    m_sink.m_records(slice.value().m_records);
  }
  if (m_stopped) {
    return;
  }
  if (m_settings.m_pause == milliseconds(0)) {
    ReadOn();
    return;
  }
  m_loop->PostAt(Clock::now() + m_settings.m_pause,
                 [self = shared_from_this()] {
                   if (!self->m_stopped) {
                     self->ReadOn();
                   }
                 });
}

void StreamFollower::Retry(const Error& error) {
  if (m_in_contact) {
    Log(kLogPart)->warn("store-lost stream={} partition={} error={}",
                        m_partition.m_stream, m_partition.m_number,
                        ToString(error));
  }
  m_in_contact = false;
  m_loop->PostAt(Clock::now() + kRetryPause, [self = shared_from_this()] {
    if (self->m_stopped) {
      return;
    }
    if (self->m_loaded) {
      self->ReadOn();
    } else {
      self->Start();
    }
  });
}

void StreamFollower::NoteContact() {
  if (!m_in_contact) {
    Log(kLogPart)->info("store-regained stream={} partition={}",
                        m_partition.m_stream, m_partition.m_number);
  }
  m_in_contact = true;
}

}  // namespace hyssopspar
