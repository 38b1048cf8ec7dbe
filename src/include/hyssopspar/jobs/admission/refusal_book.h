/// \file
/// Jobs that were refused, and the times at which they may return.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/admission/load_summary.h"
#include "hyssopspar/store/keyed_log.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// A node's question to the owner whether it may refuse a job.
struct AdmissionQuery {
  std::string m_job;
  std::uint32_t m_queue = 0;      ///< NameHash() of the queue.
  std::uint32_t m_tenant = 0;     ///< NameHash() of the tenant; 0: none.
  std::int64_t m_cpu_demand = 0;  ///< See CpuDemandOf().
  /// Waits with which the job meets its objective, and the late limit.
  milliseconds m_on_time_wait{0};
  milliseconds m_longest_wait{0};
};

/// The owner's answer.
struct AdmissionAnswer {
  bool m_is_refused = false;
  std::chrono::seconds m_retry_after{0};
};

/// A refused job whose caller has been told when to return.
struct Promise {
  std::uint32_t m_queue = 0;
  bool m_is_over_share = false;  ///< Its tenant, at the refusal.
  TimePoint m_due;
  std::int64_t m_work = 0;  ///< Kept free for the job; see QueueLoad.
};

/// What is promised to the jobs of a queue whose tenants are of one kind.
struct PromisedWork {
  std::int64_t m_work = 0;
  /// Of jobs that were admitted since the load was measured.
  std::int64_t m_admitted_work = 0;
  double m_admission_rate = 0;  ///< Admitted work per second, averaged.
  TimePoint m_latest_due;
};

/// Promises of one cell's owner. The work of promised jobs counts as backlog,
/// so that later callers get later times and can't take their place.
struct RefusalBook {
  std::map<std::string, Promise> m_promises;  ///< By job.
  std::set<std::pair<TimePoint, std::string>> m_by_due;
  /// By queue, and whether the tenants are over their share.
  std::map<std::pair<std::uint32_t, bool>, PromisedWork> m_work;
};

/// Adds the work of jobs that were admitted in the last \p elapsed to the
/// averages and forgets it, once the load has been measured again.
void AverageAdmittedWork(RefusalBook* book, Duration elapsed);

/// Gives up the room kept for callers that have not returned, and drops old
/// promises.
void DropLapsedPromises(RefusalBook* book, TimePoint now);

/// Adds the work of promised jobs to the backlogs of \p summary.
void AddPromisedWork(const RefusalBook& book, LoadSummary* summary);

/// True if \p read, of the job stream from the owner's position on, reached the
/// end and shows that the job was not stored before the read.
bool IsCertainlyNotStored(const Result<KeyedSlice>& read,
                          const std::string& job);

/// Answers \p query about a job that is not stored. \p summary, measured \p age
/// ago, doesn't contain the promised work. A job that returns when it was told
/// to is admitted whatever the load.
AdmissionAnswer AnswerAdmission(RefusalBook* book,
                                const LoadSummary& summary,
                                Duration age,
                                const AdmissionQuery& query,
                                TimePoint now);

}  // namespace hyssopspar::jobs
