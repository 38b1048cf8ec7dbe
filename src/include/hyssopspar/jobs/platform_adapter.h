/// \file
/// Everything the job plane asks of a platform.

#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/advice_port.h"
#include "hyssopspar/jobs/job_plan.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/site_config.h"
#include "hyssopspar/jobs/worker_port.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

/// A failure domain is taken out, or back in.
struct DomainChange {
  std::string m_failure_domain;
  bool m_out = false;
};

/// What one record of the operators means; monostate: nothing to us.
using OperatorChange = std::variant<std::monostate, SiteConfig, DomainChange>;

/// Translates between the platform and the product. Nothing in it decides.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual KeyedLog& Log() = 0;
  virtual WorkerPort& Workers() = 0;
  virtual AdvicePort& Adviser() = 0;

  /// Streams that operators and workers write.
  virtual Partition OperatorRecords() const = 0;
  virtual Partition WorkerRecords() const = 0;

  virtual Result<OperatorChange> DecodeOperator(
      const KeyedRecord& record) const = 0;
  /// \returns kMalformed for an entry that names no worker to use.
  virtual Result<WorkerEntry> DecodeWorker(const KeyedRecord& record) const = 0;

  /// Bodies of callers' requests and of the answers to them.
  virtual Result<JobPlan> DecodeJob(const std::string& body) const = 0;
  virtual std::string EncodeState(JobState state) const = 0;
  virtual std::string EncodePending(std::size_t jobs) const = 0;

  /// Stops all calls; their callbacks may be dropped.
  virtual void Stop() = 0;
};

}  // namespace hyssopspar::jobs
