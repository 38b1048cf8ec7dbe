/// \file
/// Restores the state that earlier owners stored into a new owner's cell.

#pragma once

#include <map>
#include <string>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/job_progress.h"
#include "hyssopspar/jobs/split_record.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

/// Reads the progress stream first and then the job stream, so that job records
/// of ended jobs need not be decoded. Records that can't be decoded are logged
/// and skipped.
class CellLoader {
 public:
  /// Handles a record of the progress stream.
  void ApplyProgressRecord(const KeyedRecord& record);

  /// Handles a record of the job stream, during loading and afterwards.
  void ApplyJobRecord(const KeyedRecord& record, Cell* cell, TimePoint now);

  /// Passes the progress and the interference model on to \p cell. Call it once
  /// the newest records of all jobs have been handled.
  void Finish(Cell* cell, TimePoint now);

 private:
  /// True when the job has ended, by its stored progress, and none of its tasks
  /// is placed on a worker. Its job record is then not needed.
  bool HasEnded(const std::string& job_id) const;

  /// Progress of a job, and the number of parts in which it is stored.
  struct LoadedProgress {
    JobProgress m_progress;
    std::size_t m_parts = 0;
  };

  SplitValueReader m_values;
  std::map<std::string, LoadedProgress> m_progress;  ///< By job id.
  std::string m_model;  ///< Encoded interference model; empty: none stored.
};

}  // namespace hyssopspar::jobs
