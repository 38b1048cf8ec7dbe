/// \file
/// What happens to a fleet in a run, derived from a seed.

#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "fleet/fleet_options.h"
#include "fleet/job_plan.h"

namespace fleet {

enum class DisruptionKind {
  kCrashWorker,       ///< It is down for the duration, then starts again.
  kReplaceWorker,     ///< As kCrashWorker, with a new id at the same address.
  kCutWorker,         ///< Neither calls nor its reports get through.
  kSlowWorker,        ///< Its answers are held back by m_value ms.
  kUpdateWorker,      ///< It drains for the duration and starts again at once.
  kCrashUnseen,       ///< It crashes and starts again while nodes are frozen.
  kFreezeNode,        ///< Its process is stopped and continued.
  kKillNode,          ///< It is down for the duration, then starts again.
  kEndNode,           ///< As kKillNode, after a graceful end.
  kSilenceStore,      ///< Calls of the node get no answer.
  kResetStore,        ///< Calls of the node end in a reset.
  kRefuseWrites,      ///< Writes of the node are answered with m_value.
  kChangeAttempts,    ///< The configuration allows m_value attempts.
  kSilenceEveryBeat,  ///< No worker's reports get through.
};

constexpr int kEveryNode = -1;
/// The worker of the first task that lasts and runs.
constexpr int kBusyWorker = -2;

struct Disruption {
  milliseconds m_at{0};  ///< Since the fleet is ready.
  milliseconds m_duration{0};
  DisruptionKind m_kind = DisruptionKind::kCrashWorker;
  int m_target = 0;  ///< A worker, a node, kEveryNode or kBusyWorker.
  int m_value = 0;
  /// Waits, from m_at on, for the next start of a task that lasts, and happens
  /// to the worker that starts it. A crash comes m_value ms later.
  bool m_at_start = false;
  int m_series = 0;  ///< Those of a series at starts happen to one task.
};

struct Schedule {
  std::vector<Disruption> m_disruptions;  ///< In the order of their times.
  std::vector<JobPlan> m_jobs;            ///< In the order of their times.
};

std::string NameOf(DisruptionKind kind);

/// Adapts the size of the fleet to the scenario. Returns false if there is no
/// such scenario.
bool ApplyScenario(FleetOptions* options);

Schedule MakeSchedule(const FleetOptions& options);

}  // namespace fleet
