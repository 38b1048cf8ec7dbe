#include "hyssopspar/jobs/admission/refusal_book.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/ids.h"

namespace hyssopspar::jobs {

namespace {

using std::chrono::seconds;

/// Most promises; about 2 MB. Further jobs are admitted, since a job that is
/// refused without a promise might never get in.
constexpr std::size_t kMaxPromises = 10000;
/// A caller may return this much too early: it counts from its receipt of the
/// answer, with its own clock.
constexpr milliseconds kEarlyTolerance{500};
/// Times beyond the promised one for which room is kept for the job, and for
/// which it is admitted. The latter covers callers that return late, and ones
/// whose job could not be stored then.
constexpr milliseconds kWorkRetention{5000};
constexpr milliseconds kPromiseRetention{60000};
/// Callers that are told the same second are spread over this time.
constexpr milliseconds kSpread{1000};
/// Weight of a new sample in the averages of admitted work; see drain_meter.
constexpr double kNewSampleWeight = 0.25;
/// Least share of the drain rate that counts as left for late jobs.
constexpr double kLeastRest = 0.01;

void ReleaseWork(RefusalBook* book, Promise* promise) {
  book->m_work[{promise->m_queue, promise->m_is_over_share}].m_work -=
      promise->m_work;
  promise->m_work = 0;
}

/// Work of promised and of just admitted jobs of tenants of one kind.
std::int64_t PromisedWorkOf(const RefusalBook& book,
                            std::uint32_t queue,
                            bool is_over_share) {
  const auto found = book.m_work.find({queue, is_over_share});
  return found == book.m_work.end()
             ? 0
             : found->second.m_work + found->second.m_admitted_work;
}

void AddPromisedWorkOfQueue(const RefusalBook& book, QueueLoad* load) {
  load->m_backlog += PromisedWorkOf(book, load->m_queue, false);
  load->m_backlog_over_share += PromisedWorkOf(book, load->m_queue, true);
}

/// Time until a job starts behind \p wait of work. From the time at which it
/// can't meet its objective any more, later jobs go ahead of it, so that only
/// the rest of the drain rate is left for it.
milliseconds WaitBehindLaterJobs(milliseconds wait,
                                 milliseconds on_time_wait,
                                 double admission_rate,
                                 std::int64_t drain_rate) {
  if (wait <= on_time_wait) {
    return wait;
  }
  const double rest = std::clamp(
      1 - admission_rate / static_cast<double>(drain_rate), kLeastRest, 1.0);
  return on_time_wait +
         std::chrono::duration_cast<milliseconds>((wait - on_time_wait) / rest);
}

AdmissionAnswer RefuseUntil(TimePoint due, TimePoint now) {
  return {true, std::max(seconds(1), std::chrono::ceil<seconds>(due - now))};
}

}  // namespace

void AverageAdmittedWork(RefusalBook* book, Duration elapsed) {
  const double seconds_elapsed = std::chrono::duration<double>(elapsed).count();
  for (auto& entry : book->m_work) {
    PromisedWork& work = entry.second;
    const double admitted =
        static_cast<double>(std::exchange(work.m_admitted_work, 0));
    if (seconds_elapsed > 0) {
      work.m_admission_rate +=
          (admitted / seconds_elapsed - work.m_admission_rate) *
          kNewSampleWeight;
    }
  }
}

void DropLapsedPromises(RefusalBook* book, TimePoint now) {
  auto entry = book->m_by_due.begin();
  while (entry != book->m_by_due.end() && entry->first + kWorkRetention < now) {
    const auto promise = book->m_promises.find(entry->second);
    ReleaseWork(book, &promise->second);
    if (entry->first + kPromiseRetention < now) {
      book->m_promises.erase(promise);
      entry = book->m_by_due.erase(entry);
    } else {
      ++entry;
    }
  }
}

void AddPromisedWork(const RefusalBook& book, LoadSummary* summary) {
  for (QueueLoad& load : summary->m_queues) {
    AddPromisedWorkOfQueue(book, &load);
  }
}

bool IsCertainlyNotStored(const Result<KeyedSlice>& read,
                          const std::string& job) {
  if (!read || read.value().m_gap || read.value().m_next < read.value().m_end) {
    return false;
  }
  const std::vector<KeyedRecord>& records = read.value().m_records;
  return std::none_of(
      records.begin(), records.end(),
      [&job](const KeyedRecord& record) { return record.m_key == job; });
}

AdmissionAnswer AnswerAdmission(RefusalBook* book,
                                const LoadSummary& summary,
                                Duration age,
                                const AdmissionQuery& query,
                                TimePoint now) {
  const auto promised = book->m_promises.find(query.m_job);
  if (promised != book->m_promises.end()) {
    const TimePoint due = promised->second.m_due;
    if (now + kEarlyTolerance < due) {
      return RefuseUntil(due, now);
    }
    book->m_work[{promised->second.m_queue, promised->second.m_is_over_share}]
        .m_admitted_work += promised->second.m_work;
    ReleaseWork(book, &promised->second);
    return {};
  }
  const QueueLoad* const found = FindQueueLoad(summary, query.m_queue);
  if (found == nullptr || book->m_promises.size() >= kMaxPromises) {
    return {};
  }
  QueueLoad queue = *found;
  AddPromisedWorkOfQueue(*book, &queue);
  const bool is_over_share =
      query.m_tenant != 0 && IsOverShare(summary, query.m_tenant);
  const std::optional<milliseconds> measured =
      ExpectedWait(queue, is_over_share);
  if (!measured) {
    return {};
  }
  const milliseconds wait =
      std::max(milliseconds(0),
               *measured - std::chrono::duration_cast<milliseconds>(age));
  PromisedWork& promised_work = book->m_work[{queue.m_queue, is_over_share}];
  const std::int64_t work =
      query.m_cpu_demand * queue.m_task_time.count() / 1000;
  if (WaitBehindLaterJobs(wait, query.m_on_time_wait,
                          promised_work.m_admission_rate,
                          queue.m_drain_rate) <= query.m_longest_wait) {
    promised_work.m_admitted_work += work;
    return {};
  }
  const milliseconds spread(Hash(query.m_job) %
                            static_cast<std::uint64_t>(kSpread.count()));
  Promise promise;
  promise.m_queue = queue.m_queue;
  promise.m_is_over_share = is_over_share;
  // Answers count in whole seconds.
  promise.m_due = std::max(now + std::chrono::ceil<seconds>(wait + spread),
                           promised_work.m_latest_due);
  promise.m_work = work;
  promised_work.m_work += promise.m_work;
  promised_work.m_latest_due = promise.m_due;
  book->m_by_due.emplace(promise.m_due, query.m_job);
  book->m_promises.emplace(query.m_job, promise);
  return RefuseUntil(promise.m_due, now);
}

}  // namespace hyssopspar::jobs
