// Orders of owners to workers, the adviser and the store, and their answers.

#include <algorithm>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "job_state/job_world_internal.h"

namespace hyssopspar::jobs {

namespace {

/// Time within which an owner notices that a worker's process has ended.
constexpr milliseconds kConnectionCheck{20};
/// Time after which an append without an answer fails.
constexpr milliseconds kStoreTimeout{1500};
/// Additional time of answers to heartbeats in slow periods.
constexpr milliseconds kMinAnswerDelay{200};
constexpr milliseconds kMaxAnswerDelay{2000};
/// Time within which all members of a gang must run.
constexpr milliseconds kGangFormationTimeout{3000};
/// Time for which a complete gang runs.
constexpr milliseconds kGangWorkTime{800};
/// Processing time of the adviser.
constexpr milliseconds kAdviserDelay{60};
/// Share of the adviser's answers that are lost during the fault period.
constexpr double kLostAdviceShare = 0.1;

/// Time at which an owner gives up waiting for the answer.
TimePoint HeartbeatDeadline(const HeartbeatAction& action) {
  return action.m_sent + kOrderTimeout + action.m_order.m_wait;
}

}  // namespace

template <class Answer>
void JobSimulation::DeliverOrder(
    Owner* owner,
    int worker,
    std::function<Answer()> deliver,
    std::function<void(const Result<Answer>&)> answered) {
  const auto fail_with_timeout = [this, answered] {
    ScheduleAfter(kOrderTimeout, [answered] {
      answered(Fail(ErrorCode::kTimeout, "no answer"));
    });
  };
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  const bool faulty = m_options.m_faults && m_now < m_faults_end;
  if (faulty && RandomBool(m_options.m_delayed_order_share)) {
    const std::int64_t incarnation = target->Entry().m_incarnation_unix_ms;
    ScheduleAfter(
        milliseconds(2000 + m_random() % 10000),
        [this, target, incarnation, deliver] {
          if (target->IsUp() &&
              (m_options.m_delayed_orders_outlive_workers ||
               target->Entry().m_incarnation_unix_ms == incarnation)) {
            deliver();
          }
        });
    fail_with_timeout();
    return;
  }
  ScheduleAfter(RandomNetworkDelay(), [this, owner, worker, target, deliver,
                                       answered, fail_with_timeout] {
    const bool reset_by_cut =
        IsCut(worker) &&
        m_contacts[static_cast<std::size_t>(worker)].m_cut_resets;
    const Duration unseen =
        target->IsUp() ? Duration(0)
                       : std::max(Duration(0), LossSeenAt(worker) - m_now);
    if (!reset_by_cut && (IsUnreachable(*owner, worker) || IsSilent(worker) ||
                          unseen >= kOrderTimeout)) {
      fail_with_timeout();
      return;
    }
    if (!target->IsUp() || reset_by_cut) {
      ScheduleAfter(unseen + RandomNetworkDelay(), [answered] {
        answered(Fail(ErrorCode::kConnectionLost, "connection reset"));
      });
      return;
    }
    const Answer answer = deliver();
    ScheduleAfter(RandomNetworkDelay(),
                  [answered, answer] { answered(answer); });
  });
}

std::map<std::string, SimulatedWorker*> JobSimulation::RunningGangMembers(
    const StartOrder& order) {
  std::map<std::string, SimulatedWorker*> members;
  TaskName name = order.m_task;
  const StepPlan& step = m_jobs.at(name.m_job).m_plan.m_steps[name.m_step];
  for (name.m_index = 0; name.m_index < step.m_tasks; ++name.m_index) {
    for (const std::unique_ptr<SimulatedWorker>& worker : m_workers) {
      const auto run = worker->Runs().find(ToString(name));
      if (run != worker->Runs().end() && run->second.m_run == order.m_run) {
        members[run->first] = worker.get();
      }
    }
  }
  return members;
}

void JobSimulation::OnGangMemberStarted(const StartOrder& order) {
  TaskName gang = order.m_task;
  gang.m_index = 0;
  const std::string name = ToString(gang) + "/" + std::to_string(order.m_run);
  const StepPlan& step = m_jobs.at(gang.m_job).m_plan.m_steps[gang.m_step];
  const std::map<std::string, SimulatedWorker*> members =
      RunningGangMembers(order);
  if (members.size() == step.m_tasks) {
    m_complete_gangs.insert(name);
    const Duration work_time = step.m_long_running && m_now >= m_faults_end
                                   ? Duration(kFaultPeriod + kSettleTime)
                                   : Duration(kGangWorkTime);
    for (const auto& member : members) {
      member.second->CompleteAt(member.first, m_now + work_time);
    }
  } else if (members.size() == 1) {
    ScheduleAfter(kGangFormationTimeout, [this, job = gang.m_job, name] {
      if (m_complete_gangs.count(name) == 0 && m_cancel_times.count(job) == 0) {
        ReportViolation("gang not complete in time: " + name);
      }
    });
  }
}

void JobSimulation::Execute(Owner* owner, const StartAction& action) {
  if (m_options.m_unsent_start_share > 0 &&
      RandomBool(m_options.m_unsent_start_share)) {
    ScheduleAfter(kOrderTimeout, [this, owner, action] {
      RunAtOwner(owner, [this, owner, action] {
        owner->m_cell->OnStartAnswer(
            action, Fail(ErrorCode::kNotSent, "no connection"), m_now);
      });
    });
    return;
  }
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(
                    std::stoi(action.m_target.m_id.substr(1)))]
          .get();
  CheckLabel(*owner, action, *target);
  const auto reply = [this, target](StartAnswer answer) {
    return StartReply{answer, target->ClockAt(m_now)};
  };
  DeliverOrder<StartReply>(
      owner, std::stoi(action.m_target.m_id.substr(1)),
      [this, target, reply, order = action.m_order] {
        const std::string name = ToString(order.m_task);
        target->Advance(m_now);
        if (m_options.m_tickets_required &&
            !m_adviser.AcceptsTicket(order, target->Entry(), m_now)) {
          return reply(StartAnswer::kNoTicket);
        }
        const bool already_running = target->Runs().count(name) > 0;
        const StartAnswer answer =
            target->Start(order, BehaviorOf(order.m_task), m_now);
        if (!already_running && target->Runs().count(name) > 0) {
          CheckNewRun(target, order);
          const Submission& job = m_jobs.at(order.m_task.m_job);
          if (job.m_plan.m_steps[order.m_task.m_step].m_gang) {
            OnGangMemberStarted(order);
          }
        }
        return reply(answer);
      },
      [this, owner, action](const Result<StartReply>& answer) {
        RunAtOwner(owner, [this, owner, action, answer] {
          owner->m_cell->OnStartAnswer(action, answer, m_now);
        });
      });
}

void JobSimulation::Execute(Owner* owner, const AdviseAction& action) {
  std::vector<WorkerEntry> workers;
  for (const AdviceCandidate& candidate : action.m_candidates) {
    const std::size_t index =
        static_cast<std::size_t>(std::stoi(candidate.m_id.substr(1)));
    workers.push_back(m_workers[index]->Entry());
  }
  const bool lost = m_now < m_faults_end && RandomBool(kLostAdviceShare);
  const TicketsByWorker advised =
      m_adviser.IssueTickets(action.m_step, workers, m_now);
  ScheduleAfter(kAdviserDelay + RandomNetworkDelay(), [this, owner, action,
                                                       lost, advised] {
    RunAtOwner(owner, [this, owner, action, lost, advised] {
      if (lost) {
        owner->m_cell->OnAdvice(
            action, Fail(ErrorCode::kTimeout, "answer lost"), m_now);
      } else {
        owner->m_cell->OnAdvice(action, advised, m_now);
      }
    });
  });
}

void JobSimulation::Execute(Owner* owner, const StopAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  DeliverOrder<ErrorCode>(
      owner, worker,
      [this, target, order = action.m_order] {
        const Result<void> stopped = target->Stop(order, m_now);
        return stopped ? ErrorCode::kInvalidArgument : stopped.error().m_code;
      },
      [this, owner, action](const Result<ErrorCode>& code) {
        Result<void> answer = Ok();
        if (!code) {
          answer = code.error();
        } else if (code.value() == ErrorCode::kFenced) {
          answer = Fail(ErrorCode::kFenced, "older epoch");
        }
        RunAtOwner(owner, [this, owner, action, answer] {
          owner->m_cell->OnStopAnswer(action, answer, m_now);
        });
      });
}

void JobSimulation::Execute(Owner* /*owner*/,
                            const ThrottleAction& /*action*/) {}

void JobSimulation::Execute(Owner* owner, const HeartbeatAction& action) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  SimulatedWorker* const target =
      m_workers[static_cast<std::size_t>(worker)].get();
  // A worker that waits for a run to end answers within m_wait; this simulation
  // answers after a fifth of it.
  const milliseconds wait = action.m_order.m_wait / 5;
  DeliverOrder<std::shared_ptr<Result<HeartbeatReport>>>(
      owner, worker,
      [this, target, order = action.m_order] {
        return std::make_shared<Result<HeartbeatReport>>(
            target->ExchangeHeartbeat(order, m_now));
      },
      [this, owner, action,
       wait](const Result<std::shared_ptr<Result<HeartbeatReport>>>& answer) {
        const Result<HeartbeatReport> report =
            answer ? *answer.value() : Result<HeartbeatReport>(answer.error());
        if (owner->m_active) {
          AnswerHeartbeat(owner, action, report, m_now + wait);
          DispatchActions(owner);
        }
      });
}

void JobSimulation::AnswerHeartbeat(Owner* owner,
                                    const HeartbeatAction& action,
                                    const Result<HeartbeatReport>& report,
                                    TimePoint at) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  ScheduleAfter(std::min<Duration>(kConnectionCheck, at - m_now), [=] {
    if (!owner->m_active) {
      return;
    }
    const bool lost = report &&
                      !m_workers[static_cast<std::size_t>(worker)]->IsUp() &&
                      !IsSilent(worker);
    const TimePoint deadline = HeartbeatDeadline(action);
    if (lost && m_now < std::min(LossSeenAt(worker), deadline)) {
      AnswerHeartbeat(owner, action, report,
                      std::min(LossSeenAt(worker), deadline));
    } else if (lost && m_now < LossSeenAt(worker)) {
      DeliverHeartbeatAnswer(owner, action,
                             Fail(ErrorCode::kTimeout, "no answer"));
    } else if (lost) {
      DeliverHeartbeatAnswer(
          owner, action, Fail(ErrorCode::kConnectionLost, "connection reset"));
    } else if (m_now < at) {
      AnswerHeartbeat(owner, action, report, at);
    } else {
      DeliverHeartbeatAnswer(owner, action, report);
    }
  });
}

void JobSimulation::DeliverHeartbeatAnswer(
    Owner* owner,
    const HeartbeatAction& action,
    const Result<HeartbeatReport>& answer) {
  const int worker = std::stoi(action.m_target.m_id.substr(1));
  Result<HeartbeatReport> seen = answer;
  Duration delay(0);
  const Duration time_left =
      std::max(Duration(0), HeartbeatDeadline(action) - m_now);
  if (answer && IsCut(worker)) {
    const bool reset =
        m_contacts[static_cast<std::size_t>(worker)].m_cut_resets;
    delay = reset ? Duration(0) : time_left;
    seen = Fail(reset ? ErrorCode::kConnectionLost : ErrorCode::kTimeout,
                "cut off");
  } else if (answer && m_now < m_slow_answers_until) {
    delay = FaultDuration(kMinAnswerDelay, kMaxAnswerDelay);
    if (delay > time_left) {
      delay = time_left;
      seen = Fail(ErrorCode::kTimeout, "late answer");
    }
  }
  const auto deliver = [this, owner, action, seen] {
    RunAtOwner(owner, [this, owner, action, seen] {
      owner->m_cell->OnHeartbeatAnswer(action, seen, m_now);
    });
  };
  if (delay > Duration(0)) {
    ScheduleAfter(delay, deliver);
  } else {
    deliver();
  }
}

void JobSimulation::Execute(Owner* owner, const StoreAction& action) {
  const auto answer = [this, owner, batch = action.m_batch](
                          Duration delay, const Result<Offset>& result) {
    ScheduleAfter(delay, [this, owner, batch, result] {
      RunAtOwner(owner, [this, owner, batch, result] {
        owner->m_cell->OnStored(batch, result, m_now);
      });
    });
  };
  ScheduleAfter(RandomNetworkDelay(), [this, owner, action, answer] {
    if (m_now < m_store_down_until ||
        m_now < owner->m_store_unreachable_until) {
      answer(kStoreTimeout, Fail(ErrorCode::kTimeout, "store unreachable"));
      return;
    }
    if (owner->m_epoch < m_store_epoch) {
      answer(RandomNetworkDelay(), Fail(ErrorCode::kFenced, "older epoch"));
      return;
    }
    if (m_now < m_store_refuses_until) {
      answer(RandomNetworkDelay(),
             Fail(ErrorCode::kInvalidArgument, "refused for a while"));
      return;
    }
    if (action.m_batch == m_store_sequence + 1) {
      m_store_sequence = action.m_batch;
      for (const KeyedRecord& record : action.m_records) {
        m_progress[record.m_key] = record.m_value.value_or("");
      }
    }
    const bool lost =
        m_options.m_faults && m_now < m_faults_end && RandomBool(0.03);
    if (lost) {
      answer(kStoreTimeout, Fail(ErrorCode::kTimeout, "answer lost"));
    } else {
      answer(RandomNetworkDelay(), Offset{0});
    }
  });
}

/// Replaces the records in place, which is equivalent to an append because the
/// store keeps only the newest record of each key.
void JobSimulation::Execute(Owner* /*owner*/,
                            const TombstoneJobsAction& action) {
  for (const std::string& id : action.m_jobs) {
    for (KeyedRecord& record : m_job_records) {
      if (record.m_key == id) {
        record.m_value = kTombstoneValue;
      }
    }
  }
}

void JobSimulation::Execute(Owner* /*owner*/,
                            const DropJobsAction& /*action*/) {}

}  // namespace hyssopspar::jobs
