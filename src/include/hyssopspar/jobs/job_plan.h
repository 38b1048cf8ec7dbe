/// \file
/// Job specification: steps, their resource demands and dependencies, and the
/// policy of the queue that accepted the job.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Limit of the tasks of all occurrences of a job together. The owner keeps
/// about 200 bytes for each.
inline constexpr std::uint64_t kMaxTasksOfAllOccurrences = 50000;

/// A set of identical tasks that become ready at the same time.
struct StepPlan {
  std::uint32_t m_tasks = 1;
  Resources m_size;                         ///< Demand of each task.
  milliseconds m_estimate{0};               ///< Declared run time of a task.
  std::vector<std::uint32_t> m_depends_on;  ///< Steps that must complete first.
  bool m_supports_checkpoints = false;  ///< Tasks can resume from a checkpoint.
  bool m_gang = false;       ///< All tasks must run at the same time.
  bool m_same_rack = false;  ///< Prefers one rack for all tasks.
  std::string m_label;       ///< Required worker label; "": any worker.
  std::string m_data_rack;   ///< Rack that stores the input data.
  /// Limit of the step's tasks on one worker; 0: no limit.
  std::uint32_t m_max_tasks_per_worker = 0;
  bool m_allows_speculative_copies = false;
  bool m_long_running = false;  ///< Runs until the job is cancelled.
  std::string m_image;          ///< Key for learned interference data.
  milliseconds m_tail_latency_target{0};  ///< Tail latency limit; 0: none.
  bool m_is_best_effort = false;          ///< Best-effort: uses only idle CPU.
  /// Limit of the number of tasks that may be interrupted at the same time.
  std::uint32_t m_max_interrupted_tasks = 0;
};

/// Resources that a task of the step reserves on its worker. Best-effort tasks
/// reserve no CPU.
inline Resources ReservedResourcesOf(const StepPlan& step) {
  Resources reserved = step.m_size;
  if (step.m_is_best_effort) {
    reserved.m_cpu_milli = 0;
  }
  return reserved;
}

/// Client-supplied part of a job.
struct JobPlan {
  std::string m_payload;  ///< Passed to every task unchanged.
  std::vector<StepPlan> m_steps;
  std::uint32_t m_occurrences = 0;       ///< 0: runs once, immediately.
  std::int64_t m_first_due_unix_ms = 0;  ///< Start of the first occurrence.
  milliseconds m_interval{0};            ///< Time between occurrences.
};

/// Number of tasks of all occurrences.
std::uint64_t CountTasks(const JobPlan& plan);

/// Checks the limits of a job that this program can schedule: the numbers of
/// steps and tasks, sizes, and dependencies on earlier steps only. Fails with
/// kInvalidArgument.
Result<void> ValidatePlan(const JobPlan& plan);

/// Policy of a queue at the time at which the job was accepted.
struct QueuePolicy {
  std::string m_name;
  std::string m_service;        ///< Worker pool that runs the tasks.
  std::int64_t m_priority = 0;  ///< Lower values are scheduled first.
  std::uint32_t m_max_attempts = 1;
  /// Completion objective: this multiple of the estimated time of the job's
  /// critical path, plus m_latency_target.
  double m_stretch = 1;
  milliseconds m_latency_target{0};
  /// Validity of an adviser's ticket; 0: starts need no ticket.
  milliseconds m_ticket_validity{0};
};

/// An accepted job as persisted in the store.
struct Submission {
  std::string m_id;
  std::int64_t m_accepted_unix_ms = 0;
  QueuePolicy m_queue;
  JobPlan m_plan;
  std::string m_tenant;  ///< Name of the job's tenant; empty without one.
  /// Revision of the configuration by which the caller was authenticated; 0
  /// without tenants.
  std::int64_t m_config_revision = 0;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& step, const StepPlan* /*tag*/) {
  archive(step.m_tasks, step.m_size, step.m_estimate, step.m_depends_on,
          step.m_supports_checkpoints, step.m_gang, step.m_same_rack,
          step.m_label, step.m_data_rack, step.m_max_tasks_per_worker,
          step.m_allows_speculative_copies, step.m_long_running, step.m_image,
          step.m_tail_latency_target, step.m_is_best_effort,
          step.m_max_interrupted_tasks);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& plan, const JobPlan* /*tag*/) {
  archive(plan.m_payload, plan.m_steps, plan.m_occurrences,
          plan.m_first_due_unix_ms, plan.m_interval);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& queue, const QueuePolicy* /*tag*/) {
  archive(queue.m_name, queue.m_service, queue.m_priority, queue.m_max_attempts,
          queue.m_stretch, queue.m_latency_target, queue.m_ticket_validity);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& job, const Submission* /*tag*/) {
  archive(job.m_id, job.m_accepted_unix_ms, job.m_queue, job.m_plan);
  archive.Tail(job.m_tenant, job.m_config_revision);
}

}  // namespace hyssopspar::jobs
