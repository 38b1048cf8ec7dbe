/// \file
/// Interface between the job plane and the platform that it runs on.

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

/// A failure domain is taken out of service or put back.
struct DomainChange {
  std::string m_failure_domain;
  bool m_out_of_service = false;  ///< Taken out of service.
};

/// Decoded operator record; monostate if the job plane does not use it.
using OperatorChange = std::variant<std::monostate, SiteConfig, DomainChange>;

/// Translates between the platform's protocols and the job plane's types. Holds
/// no scheduling logic.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual KeyedLog& Log() = 0;
  virtual WorkerPort& Workers() = 0;
  virtual AdvicePort& Adviser() = 0;

  /// Partitions to which operators and workers write their records.
  virtual Partition OperatorRecords() const = 0;
  virtual Partition WorkerRecords() const = 0;

  virtual Result<OperatorChange> DecodeOperator(
      const KeyedRecord& record) const = 0;
  /// \returns kMalformed for an entry that does not describe a usable worker.
  virtual Result<WorkerEntry> DecodeWorker(const KeyedRecord& record) const = 0;

  /// Bodies of client requests and of the responses to them.
  virtual Result<JobPlan> DecodeJob(const std::string& body) const = 0;
  virtual std::string EncodeState(JobState state) const = 0;
  virtual std::string EncodePending(std::size_t jobs) const = 0;

  /// Cancels all pending calls; their callbacks may not run.
  virtual void Stop() = 0;
};

}  // namespace hyssopspar::jobs
