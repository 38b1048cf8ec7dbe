/// \file
/// What a job of steps asks for.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// A set of like tasks that become ready together.
struct StepPlan {
  std::uint32_t m_tasks = 1;
  Resources m_size;  ///< Of each task.
  milliseconds m_estimate{0};
  std::vector<std::uint32_t> m_after;  ///< Steps that have to end first.
  bool m_checkpoints = false;
  bool m_gang = false;              ///< Tasks work only all together.
  bool m_same_rack = false;         ///< Slower when spread over racks.
  std::string m_label;              ///< Label that a worker must have.
  std::string m_data_rack;          ///< Rack that holds the data.
  std::uint32_t m_per_worker = 0;   ///< Most tasks on one worker; 0: any.
  bool m_copies = false;            ///< Copies of a task may run at once.
  bool m_long_running = false;      ///< Runs until its job is cancelled.
  std::string m_image;              ///< Tasks of one image behave alike.
  milliseconds m_tail_target{0};    ///< Bound of the served tail; 0: none.
  bool m_fills_idle = false;        ///< Uses only processor left idle.
  std::uint32_t m_max_missing = 0;  ///< Tasks that may be interrupted at once.
};

/// What a task of the step takes of its worker's capacity.
inline Resources RoomOf(const StepPlan& step) {
  Resources room = step.m_size;
  if (step.m_fills_idle) {
    room.m_cpu_milli = 0;
  }
  return room;
}

struct JobPlan {
  std::string m_payload;  ///< Passed to every task as it is.
  std::vector<StepPlan> m_steps;
  std::uint32_t m_occurrences = 0;  ///< 0: runs once, at once.
  std::int64_t m_first_due_unix_ms = 0;
  milliseconds m_interval{0};  ///< Between occurrences.
};

/// Policy of a queue, as of the job's acceptance.
struct QueuePolicy {
  std::string m_name;
  std::string m_service;        ///< Pool of workers that runs the tasks.
  std::int64_t m_priority = 0;  ///< Lower goes first.
  std::uint32_t m_max_attempts = 1;
  double m_stretch = 1;  ///< Objective, in lengths of the job's chain.
  milliseconds m_latency_target{0};
  /// How long an adviser's tickets hold; 0: starts need none.
  milliseconds m_ticket_validity{0};
};

/// An accepted job, as it lies in the store.
struct Submission {
  std::string m_id;
  std::int64_t m_accepted_unix_ms = 0;
  QueuePolicy m_queue;
  JobPlan m_plan;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& step, const StepPlan* /*tag*/) {
  archive(step.m_tasks, step.m_size, step.m_estimate, step.m_after,
          step.m_checkpoints, step.m_gang, step.m_same_rack, step.m_label,
          step.m_data_rack, step.m_per_worker, step.m_copies,
          step.m_long_running, step.m_image, step.m_tail_target,
          step.m_fills_idle, step.m_max_missing);
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
}

}  // namespace hyssopspar::jobs
