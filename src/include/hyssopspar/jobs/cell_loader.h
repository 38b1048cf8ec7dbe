/// \file
/// Brings what earlier owners stored into a new owner's cell.

#pragma once

#include <map>
#include <string>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

/// Takes the progress stream first, then the job stream; the records of jobs
/// that have ended are not decoded. Records that can't be read are logged.
class CellLoader {
 public:
  /// A record of the progress stream.
  void EnterProgress(const KeyedRecord& record);

  /// A record of the job stream, while loading and after.
  void EnterJob(const KeyedRecord& record, Cell* cell, TimePoint now);

  /// Passes the progress on, once the newest records of all jobs are in.
  void Finish(Cell* cell, TimePoint now);

 private:
  /// True when stored progress says all there is to know of the job.
  bool HasEnded(const std::string& job_id) const;

  std::map<std::string, JobProgress> m_progress;
  std::string m_model;
};

}  // namespace hyssopspar::jobs
