/// \file
/// Fixture of the tests of Cell.

#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hyssopspar/jobs/cell.h"

namespace hyssopspar::jobs {

inline constexpr std::int64_t kNowUnixMs = 1700000000000;

/// Drives one cell whose workers and store answer at once.
class CellTest : public testing::Test {
 protected:
  CellTest() : m_now(std::chrono::hours(1)), m_cell(Settings(m_now), m_now) {
    m_cell.SetUnixTime(milliseconds(kNowUnixMs), m_now);
    SetViewsCurrent();
  }

  static CellSettings Settings(TimePoint now) {
    CellSettings settings;
    settings.m_inherited_lease_deadline = now + std::chrono::seconds(10);
    settings.m_measures_load = true;
    return settings;
  }

  void SetViewsCurrent() { m_cell.SetViewTimes(m_now, m_now); }

  void AddWorker(const std::string& id, std::int64_t cpu_milli = 16000) {
    WorkerEntry entry;
    entry.m_id = id;
    entry.m_address = id;
    entry.m_service = "pool";
    entry.m_capacity = {cpu_milli, 64000, 0};
    entry.m_incarnation_unix_ms = 1 + m_incarnations[id];
    m_cell.SetWorker(entry, m_now);
  }

  /// Updates the entries of restarted workers.
  void UpdateList() {
    for (const auto& restarted : m_incarnations) {
      for (const Worker& worker : m_cell.Workers()) {
        WorkerEntry entry = worker.m_entry;
        if (entry.m_id == restarted.first &&
            entry.m_incarnation_unix_ms != 1 + restarted.second) {
          entry.m_incarnation_unix_ms = 1 + restarted.second;
          m_cell.SetWorker(entry, m_now);
          break;
        }
      }
    }
  }

  static StepPlan Step(std::uint32_t tasks, std::int64_t cpu_milli) {
    StepPlan step;
    step.m_tasks = tasks;
    step.m_size = {cpu_milli, 1000, 0};
    return step;
  }

  static Submission MakeJob(const std::string& id, StepPlan step) {
    Submission job;
    job.m_id = id;
    job.m_accepted_unix_ms = kNowUnixMs;
    job.m_queue.m_name = step.m_long_running ? "services" : "quotes";
    job.m_queue.m_service = "pool";
    job.m_queue.m_max_attempts = 3;
    job.m_plan.m_steps.push_back(std::move(step));
    return job;
  }

  static StepPlan LongRunning(StepPlan step) {
    step.m_long_running = true;
    return step;
  }

  /// Answers all actions and advances the time by \p time in small steps.
  void Run(milliseconds time) {
    const TimePoint end = m_now + time;
    while (m_now < end) {
      m_now += milliseconds(25);
      SetViewsCurrent();
      if (m_list_is_read) {
        UpdateList();
      }
      m_cell.Tick(m_now);
      for (Action& action : m_cell.TakeActions()) {
        std::visit([this](auto& typed) { Answer(typed); }, action);
      }
    }
  }

  WorkerTime ClockOf(const std::string& worker) {
    return WorkerTime(milliseconds(ToMillis(m_now - m_restarted_at[worker])));
  }

  StartReply StartedReply(const StartAction& action) {
    return {StartAnswer::kStarted, ClockOf(action.m_target.m_id)};
  }

  void Answer(const StartAction& action) {
    m_starts.push_back(action.m_order);
    m_start_workers.push_back(action.m_target.m_id);
    m_send_before.push_back(action.m_send_before);
    if (m_start_refusal) {
      m_cell.OnStartAnswer(
          action, StartReply{*m_start_refusal, ClockOf(action.m_target.m_id)},
          m_now);
    } else if (m_starts_are_answered) {
      m_running[action.m_target.m_id].push_back(
          {action.m_order.m_task, action.m_order.m_run, "", 0, m_usage});
      m_cell.OnStartAnswer(action, StartedReply(action), m_now);
    } else {
      m_unanswered_starts.push_back(action);
    }
  }
  void Answer(const StopAction& action) {
    m_stops.push_back(action.m_order);
    if (m_stops_are_held) {
      m_held_stops.push_back(action);
      return;
    }
    m_cell.OnStopAnswer(
        action,
        m_stops_are_answered
            ? Ok()
            : Result<void>(Fail(ErrorCode::kTimeout, "no answer")),
        m_now);
  }
  void Answer(const ThrottleAction& action) {
    m_throttles.push_back(action.m_order);
  }
  void Answer(const HeartbeatAction& action) {
    if (!m_heartbeats_are_answered) {
      m_unanswered_heartbeats.push_back(action);
      return;
    }
    const auto error = m_heartbeat_errors.find(action.m_target.m_id);
    if (error != m_heartbeat_errors.end()) {
      m_cell.OnHeartbeatAnswer(action, Fail(error->second, ""), m_now);
      return;
    }
    m_acked[action.m_target.m_id] =
        std::max(m_acked[action.m_target.m_id], action.m_order.m_acked_up_to);
    HeartbeatReport report;
    report.m_now = ClockOf(action.m_target.m_id);
    report.m_incarnation_unix_ms = 1 + m_incarnations[action.m_target.m_id];
    report.m_running = m_running[action.m_target.m_id];
    report.m_ended = m_ended[action.m_target.m_id];
    m_cell.OnHeartbeatAnswer(action, report, m_now);
  }
  void Answer(const AdviseAction& /*action*/) {}
  void Answer(const StoreAction& action) {
    if (m_store_is_slow) {
      m_unanswered_batch = m_last_stored_batch = action.m_batch;
      return;
    }
    const bool refused = std::any_of(
        action.m_records.begin(), action.m_records.end(),
        [this](const KeyedRecord& record) {
          return record.m_value.value_or("").size() > m_store_record_bytes ||
                 m_refused_keys.count(record.m_key) > 0;
        });
    if (refused || m_store_refuses) {
      ++m_refused_batches;
      m_cell.OnStored(action.m_batch,
                      Fail(ErrorCode::kInvalidArgument, "record too large"),
                      m_now);
      return;
    }
    if (action.m_batch == m_unconfirmed_batch) {
      // The store answers a repeated number as it answered the first.
      m_unconfirmed_batch = 0;
      m_cell.OnStored(action.m_batch, Offset{1}, m_now);
      return;
    }
    EXPECT_EQ(action.m_batch, ++m_last_stored_batch);
    m_stored.insert(m_stored.end(), action.m_records.begin(),
                    action.m_records.end());
    if (m_next_confirmation_is_lost) {
      m_next_confirmation_is_lost = false;
      m_unconfirmed_batch = action.m_batch;
      m_cell.OnStored(action.m_batch, Fail(ErrorCode::kTimeout, "no answer"),
                      m_now);
      return;
    }
    m_cell.OnStored(action.m_batch, Offset{1}, m_now);
  }
  void Answer(const TombstoneJobsAction& /*action*/) {}
  void Answer(const DropJobsAction& /*action*/) {}

  /// Like Run(), but lets the cell decide only at its deadlines and at answers
  /// to its actions, as its host does. The views are current from \p views_from
  /// on.
  void RunByDeadlines(milliseconds time, TimePoint views_from) {
    const TimePoint end = m_now + time;
    bool answered = false;
    while (m_now < end) {
      m_now += milliseconds(25);
      if (m_now >= views_from) {
        SetViewsCurrent();
      }
      if (!answered && m_cell.NextDeadline() > m_now) {
        continue;
      }
      m_cell.Tick(m_now);
      std::vector<Action> actions = m_cell.TakeActions();
      answered = !actions.empty();
      for (Action& action : actions) {
        std::visit([this](auto& typed) { Answer(typed); }, action);
      }
    }
  }

  /// Last stored progress of the job.
  std::string StoredProgressOf(const std::string& job_id) const {
    std::string progress;
    for (const KeyedRecord& record : m_stored) {
      progress =
          record.m_key == job_id ? record.m_value.value_or("") : progress;
    }
    return progress;
  }

  std::size_t StartsOf(const std::string& job_id) const {
    return static_cast<std::size_t>(std::count_if(
        m_starts.begin(), m_starts.end(),
        [&](const StartOrder& order) { return order.m_task.m_job == job_id; }));
  }

  TimePoint m_now;
  Cell m_cell;
  bool m_starts_are_answered = true;
  std::vector<StartAction> m_unanswered_starts;
  bool m_heartbeats_are_answered = true;
  std::vector<HeartbeatAction> m_unanswered_heartbeats;
  std::optional<StartAnswer> m_start_refusal;  ///< Answer to every start.
  bool m_stops_are_answered = true;
  bool m_stops_are_held = false;  ///< Their answers come later.
  std::vector<StopAction> m_held_stops;
  bool m_list_is_read = true;  ///< The list of workers, in Run().
  bool m_store_is_slow = false;
  std::uint64_t m_unanswered_batch = 0;
  /// The store refuses batches with larger values.
  std::size_t m_store_record_bytes = 262144;
  std::set<std::string> m_refused_keys;  ///< It refuses batches with these.
  bool m_store_refuses = false;          ///< It refuses all batches.
  std::size_t m_refused_batches = 0;
  bool m_next_confirmation_is_lost = false;  ///< Of the next stored batch.
  std::uint64_t m_unconfirmed_batch = 0;     ///< Whose confirmation was lost.
  std::uint64_t m_last_stored_batch = 0;
  double m_usage = 0;  ///< Reported for every run.
  std::map<std::string, std::vector<RunningRun>> m_running;  ///< By worker.
  std::map<std::string, std::vector<EndedRun>> m_ended;      ///< By worker.
  std::map<std::string, std::uint64_t> m_acked;              ///< By worker.
  std::map<std::string, std::int64_t> m_incarnations;        ///< Restarts.
  std::map<std::string, TimePoint> m_restarted_at;           ///< By worker.
  /// Errors of the heartbeats to workers that don't answer.
  std::map<std::string, ErrorCode> m_heartbeat_errors;
  std::vector<StartOrder> m_starts;
  std::vector<std::string> m_start_workers;  ///< Of m_starts.
  std::vector<TimePoint> m_send_before;      ///< Of m_starts.
  std::vector<ThrottleOrder> m_throttles;
  std::vector<StopOrder> m_stops;
  std::vector<KeyedRecord> m_stored;
};

}  // namespace hyssopspar::jobs
