#include "hyssopspar/store/stream_follower.h"

#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogComponent = "store";
/// Time beyond the long-polling wait after which a read times out.
constexpr milliseconds kReadTimeoutMargin{800};
/// Delay before a failed call is repeated.
constexpr milliseconds kRetryDelay{150};

}  // namespace

StreamFollower::StreamFollower(KeyedLog* log,
                               DecisionLoop* loop,
                               Partition partition,
                               FollowerSettings settings,
                               FollowerCallbacks callbacks)
    : m_log(log),
      m_loop(loop),
      m_partition(std::move(partition)),
      m_settings(settings),
      m_callbacks(std::move(callbacks)) {}

void StreamFollower::Start() {
  m_snapshot_records.clear();
  m_loading = true;
  LoadPage("", Clock::now());
}

void StreamFollower::Stop() {
  m_stopped = true;
}

void StreamFollower::LoadPage(const std::string& after_key,
                              TimePoint first_sent) {
  m_log->Newest(m_partition, after_key, Clock::now() + kReadTimeoutMargin,
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
  MarkConnected();
  // Pages are read one by one and may miss records appended meanwhile, so
  // reading continues at the end of the stream as of the first page.
  if (m_snapshot_records.empty()) {
    m_next = page.value().m_end;
  }
  m_snapshot_records.insert(m_snapshot_records.end(),
                            page.value().m_records.begin(),
                            page.value().m_records.end());
  if (page.value().m_has_more && !page.value().m_records.empty()) {
    LoadPage(page.value().m_records.back().m_key, first_sent);
    return;
  }
  m_loaded = true;
  m_loading = false;
  m_current_as_of = first_sent;
  m_callbacks.m_snapshot(std::exchange(m_snapshot_records, {}));
  if (!m_stopped) {
    ReadNext();
  }
}

milliseconds StreamFollower::ReadWait() const {
  return m_settings.m_poll_interval > milliseconds(0) ? milliseconds(0)
                                                      : m_settings.m_max_wait;
}

void StreamFollower::ReadNext() {
  const TimePoint now = Clock::now();
  const milliseconds wait = ReadWait();
  m_log->Read(m_partition, m_next, wait, now + wait + kReadTimeoutMargin,
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
  MarkConnected();
  if (slice.value().m_gap) {
    Log(kLogComponent)
        ->info("history-dropped stream={} partition={} from={}",
               m_partition.m_stream, m_partition.m_number, m_next);
    Start();
    return;
  }
  m_next = slice.value().m_next;
  if (m_next >= slice.value().m_end) {
    // The store returns an empty result only at the end of the wait, so nothing
    // was appended before that time.
    m_current_as_of =
        slice.value().m_records.empty() ? sent + ReadWait() : sent;
  }
  if (!slice.value().m_records.empty()) {
    m_callbacks.m_records(slice.value().m_records);
  }
  if (m_stopped) {
    return;
  }
  if (m_settings.m_poll_interval == milliseconds(0)) {
    ReadNext();
    return;
  }
  m_loop->PostAt(Clock::now() + m_settings.m_poll_interval,
                 [self = shared_from_this()] {
                   if (!self->m_stopped) {
                     self->ReadNext();
                   }
                 });
}

void StreamFollower::Retry(const Error& error) {
  if (m_store_connected) {
    Log(kLogComponent)
        ->warn("store-lost stream={} partition={} error={}",
               m_partition.m_stream, m_partition.m_number, ToString(error));
  }
  m_store_connected = false;
  m_loop->PostAt(Clock::now() + kRetryDelay, [self = shared_from_this()] {
    if (self->m_stopped) {
      return;
    }
    if (self->m_loading) {
      self->Start();
    } else {
      self->ReadNext();
    }
  });
}

void StreamFollower::MarkConnected() {
  if (!m_store_connected) {
    Log(kLogComponent)
        ->info("store-reconnected stream={} partition={}", m_partition.m_stream,
               m_partition.m_number);
    m_connected_since = Clock::now();
  }
  m_store_connected = true;
}

}  // namespace hyssopspar
