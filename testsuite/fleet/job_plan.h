#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fleet {

using std::chrono::milliseconds;

enum class JobKind {
  kLasting,        ///< Its tasks run until the job is cancelled.
  kShort,          ///< Its tasks work for a while and end.
  kFailing,        ///< Like kShort; the first run of each task fails.
  kDeadly,         ///< Each run crashes its worker.
  kDeadlyLasting,  ///< As kDeadly, with tasks that last.
};

inline bool Lasts(JobKind kind) {
  return kind == JobKind::kLasting || kind == JobKind::kDeadlyLasting;
}

inline bool IsDeadly(JobKind kind) {
  return kind == JobKind::kDeadly || kind == JobKind::kDeadlyLasting;
}

/// A job as a client submits it.
struct JobPlan {
  std::string m_id;
  JobKind m_kind = JobKind::kShort;
  milliseconds m_due{0};  ///< Since the start of the run.
  int m_tasks = 1;
  milliseconds m_work{0};  ///< Of each task; of deadly ones, until the crash.
  std::string m_label;     ///< That its workers must have; empty: any.
};

}  // namespace fleet
