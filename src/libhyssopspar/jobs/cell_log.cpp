#include "jobs/cell_log.h"

namespace hyssopspar::jobs {

std::shared_ptr<spdlog::logger> CellLog() {
  static const std::shared_ptr<spdlog::logger> kLogger = Log("cell");
  return kLogger;
}

const char* CauseName(EndCause cause) {
  switch (cause) {
    case EndCause::kDone:
      return "done";
    case EndCause::kFailed:
      return "failed";
    case EndCause::kStopped:
      return "stopped";
    case EndCause::kLeaseExpired:
      return "lapsed";
    case EndCause::kWorkerCrashed:
      return "worker-crashed";
    case EndCause::kGangBroken:
      return "gang-broken";
    case EndCause::kGangIncomplete:
      return "gang-incomplete";
  }
  return "unknown";
}

const char* AnswerName(StartAnswer answer) {
  switch (answer) {
    case StartAnswer::kStarted:
      return "started";
    case StartAnswer::kFenced:
      return "fenced";
    case StartAnswer::kOldRun:
      return "old-run";
    case StartAnswer::kLate:
      return "late";
    case StartAnswer::kNoCapacity:
      return "no-room";
    case StartAnswer::kNoTicket:
      return "no-ticket";
    case StartAnswer::kRejected:
      return "rejected";
    case StartAnswer::kUnhealthy:
      return "unhealthy";
    case StartAnswer::kWrongWorker:
      return "other-life";
  }
  return "unknown";
}

const char* FailureName(JobFailure failure) {
  switch (failure) {
    case JobFailure::kAttemptsUsed:
      return "attempts-used";
    case JobFailure::kCrashesWorkers:
      return "crashes-workers";
  }
  return "unknown";
}

const char* SignName(CrashSign sign) {
  switch (sign) {
    case CrashSign::kRestarted:
      return "restarted";
    case CrashSign::kOtherWorker:
      return "other-worker";
  }
  return "unknown";
}

}  // namespace hyssopspar::jobs
