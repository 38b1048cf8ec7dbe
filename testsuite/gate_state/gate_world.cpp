#include "gate_state/gate_world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hyssopspar::testsuite {

namespace {

constexpr milliseconds kTimeStep{5};
/// Time from reading a claim stream to passing the records to the gate.
constexpr milliseconds kClaimReadDelay{10};
constexpr milliseconds kAppendTimeout{300};
constexpr milliseconds kAppendRetryPause{100};
/// Number of retries of an append of an outcome or a release.
constexpr int kRecordRetries = 400;
constexpr milliseconds kMinServiceTime{10};
constexpr milliseconds kMaxServiceTime{80};
constexpr const char* kService = "s";

}  // namespace

GateSimulation::GateSimulation(const GateSimulationSettings& settings)
    : m_settings(settings),
      m_random(settings.m_seed),
      m_now(std::chrono::hours(1)),
      m_endpoints(settings.m_endpoints) {
  m_config.m_revision = 1;
  ServiceConfig service;
  service.m_name = kService;
  service.m_classes = {RequestClass{"quote", true, milliseconds(500)},
                       RequestClass{"order", false, milliseconds(500)}};
  m_config.m_doc.m_services = {service};
  m_config.m_doc.m_tenants = {TenantConfig{"t", 1, 1.0}};
  m_gates.resize(settings.m_gates);
  for (int i = 0; i < settings.m_gates; ++i) {
    Restart(i);
  }
}

Duration GateSimulation::RandomDuration(Duration min, Duration max) {
  std::uniform_int_distribution<std::int64_t> distribution(min.count(),
                                                           max.count());
  return Duration(distribution(m_random));
}

std::vector<Vm> GateSimulation::ListVms() const {
  std::vector<Vm> vms;
  for (int i = 0; i < Endpoints(); ++i) {
    Vm vm;
    vm.m_name = "e" + std::to_string(i);
    vm.m_kind = VmKind::kEndpoint;
    vm.m_service = kService;
    vm.m_address = std::to_string(i);
    vm.m_slots = 2;
    vms.push_back(vm);
  }
  return vms;
}

void GateSimulation::Restart(int gate) {
  Kill(gate);
  SimulatedGate& process = m_gates[gate];
  GateSettings settings;
  settings.m_name = "g" + std::to_string(gate);
  settings.m_policy = m_settings.m_policy;
  settings.m_refusal_pause = milliseconds(200);
  process.m_core = std::make_unique<GateCore>(settings, m_random() | 1);
  process.m_alive = true;
  process.m_frozen_until = TimePoint();
  process.m_core->OnConfig(m_config, m_now);
  process.m_core->OnVms(ListVms(), m_now);
}

void GateSimulation::Kill(int gate) {
  ++m_gates[gate].m_generation;
  m_gates[gate].m_alive = false;
  for (std::pair<const RequestId, CallerRequest>& entry : m_caller_requests) {
    CallerRequest& caller_request = entry.second;
    caller_request.m_gate_killed =
        caller_request.m_gate_killed ||
        (caller_request.m_gate == gate && caller_request.m_reply_count == 0);
  }
}

void GateSimulation::Freeze(int gate, Duration span) {
  m_gates[gate].m_frozen_until = m_now + span;
}

void GateSimulation::Schedule(int gate,
                              Duration delay,
                              std::function<void()> action) {
  const std::uint64_t generation = gate < 0 ? 0 : m_gates[gate].m_generation;
  m_events.emplace(m_now + delay,
                   ScheduledEvent{gate, generation, std::move(action)});
}

void GateSimulation::Call(int gate,
                          const std::string& key,
                          milliseconds timeout) {
  if (!m_gates[gate].m_alive) {
    return;
  }
  GateRequest request;
  request.m_id = m_next_request++;
  request.m_service = kService;
  request.m_class = key.empty() ? "quote" : "order";
  request.m_tenant = "t";
  request.m_key = key;
  request.m_deadline = m_now + timeout;
  CallerRequest caller_request;
  caller_request.m_gate = gate;
  caller_request.m_key = key;
  caller_request.m_deadline = request.m_deadline;
  m_caller_requests[request.m_id] = caller_request;
  Schedule(gate, milliseconds(1), [this, gate, request] {
    m_gates[gate].m_core->OnRequest(request, m_now);
  });
}

void GateSimulation::ExecuteActions(int gate) {
  const GateOutput output = m_gates[gate].m_core->DispatchPending(m_now);
  for (const DispatchAction& action : output.m_dispatches) {
    Dispatch(gate, action);
  }
  for (const ReplyAction& action : output.m_replies) {
    CallerRequest& caller_request = m_caller_requests.at(action.m_request_id);
    ++caller_request.m_reply_count;
    caller_request.m_outcome = action.m_outcome;
    caller_request.m_replayed = action.m_replayed;
  }
  for (const ClaimAppendAction& action : output.m_claim_appends) {
    Append(gate, action, action.m_request_id == 0 ? kRecordRetries : 0);
  }
}

void GateSimulation::Dispatch(int gate, const DispatchAction& action) {
  Schedule(gate, RandomDuration(milliseconds(0), milliseconds(3)),
           [this, gate, action] {
             const SimulatedEndpoint& endpoint =
                 m_endpoints[std::stoi(action.m_address)];
             if (endpoint.m_unreachable) {
               EndExchange(gate, action.m_request_id, ExchangeResult::kNotSent,
                           milliseconds(1));
               return;
             }
             // A request that was sent arrives even if the gate is killed
             // meanwhile.
             const std::uint64_t generation = m_gates[gate].m_generation;
             Schedule(-1, RandomDuration(milliseconds(1), milliseconds(4)),
                      [this, gate, generation, action] {
                        ArriveAtEndpoint(gate, generation, action);
                      });
           });
}

void GateSimulation::ArriveAtEndpoint(int gate,
                                      std::uint64_t generation,
                                      const DispatchAction& action) {
  const int index = std::stoi(action.m_address);
  SimulatedEndpoint& endpoint = m_endpoints[index];
  const bool sender_alive = m_gates[gate].m_generation == generation;
  if (endpoint.m_draining) {
    if (sender_alive) {
      EndExchange(gate, action.m_request_id, ExchangeResult::kRefused,
                  milliseconds(2));
    }
    return;
  }
  const Duration service = std::chrono::duration_cast<Duration>(
      RandomDuration(kMinServiceTime, kMaxServiceTime) * endpoint.m_slowdown);
  const CallerRequest& caller_request =
      m_caller_requests.at(action.m_request_id);
  m_executions.push_back(Execution{action.m_request_id, index,
                                   caller_request.m_key, m_now,
                                   m_now + service});
  const Duration time_left =
      std::max(Duration::zero(), action.m_deadline - m_now);
  if (!sender_alive) {
    return;
  }
  const bool answered = !endpoint.m_drops_answers && service <= time_left;
  EndExchange(gate, action.m_request_id,
              answered ? ExchangeResult::kAnswered : ExchangeResult::kUnknown,
              answered ? service : time_left);
}

void GateSimulation::EndExchange(int gate,
                                 RequestId request,
                                 ExchangeResult result,
                                 Duration delay) {
  Schedule(gate, delay, [this, gate, request, result] {
    ClaimOutcome outcome;
    outcome.m_has_answer = result == ExchangeResult::kAnswered;
    outcome.m_status = 200;
    m_gates[gate].m_core->OnExchange(request, result, outcome, m_now);
  });
}

void GateSimulation::Append(int gate,
                            const ClaimAppendAction& action,
                            int retries_left) {
  Schedule(
      gate, RandomDuration(milliseconds(0), milliseconds(2)),
      [this, gate, action, retries_left] {
        const auto done = [this, gate, action, retries_left](
                              bool succeeded, bool may_have_taken_effect) {
          if (!succeeded && retries_left > 0) {
            Append(gate, action, retries_left - 1);
          } else if (action.m_request_id != 0) {
            m_gates[gate].m_core->OnClaimAppend(action.m_request_id, succeeded,
                                                may_have_taken_effect, m_now);
          }
        };
        if (m_log_down) {
          Schedule(gate, kAppendRetryPause, [done] { done(false, false); });
          return;
        }
        const Duration effect_delay =
            m_append_delay + RandomDuration(milliseconds(0), milliseconds(8));
        std::bernoulli_distribution lose_answer(m_answer_loss_rate);
        const bool answer_lost =
            lose_answer(m_random) || effect_delay > kAppendTimeout;
        Schedule(-1, effect_delay, [this, action] {
          standin::AppendRecord(&m_log, action.m_stream, action.m_payload);
        });
        Schedule(gate, answer_lost ? Duration(kAppendTimeout) : effect_delay,
                 [done, answer_lost] { done(!answer_lost, answer_lost); });
      });
}

void GateSimulation::ReadClaims(int gate) {
  if (m_log_down) {
    return;
  }
  GateCore& core = *m_gates[gate].m_core;
  for (const std::pair<const std::string, Offset>& stream :
       core.ClaimStreams()) {
    const LogSlice slice =
        standin::ReadRecords(m_log, stream.first, stream.second, 100);
    if (!slice.m_records.empty()) {
      Schedule(gate, kClaimReadDelay, [this, gate, stream, slice] {
        m_gates[gate].m_core->OnClaimRead(stream.first, slice, m_now);
      });
    }
  }
}

void GateSimulation::Step() {
  m_now += kTimeStep;
  std::vector<std::pair<TimePoint, ScheduledEvent>> deferred;
  while (!m_events.empty() && m_events.begin()->first <= m_now) {
    const TimePoint due = m_events.begin()->first;
    ScheduledEvent event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    if (event.m_gate >= 0) {
      const SimulatedGate& process = m_gates[event.m_gate];
      if (process.m_generation != event.m_generation) {
        continue;
      }
      if (process.m_frozen_until > m_now) {
        deferred.emplace_back(due, std::move(event));
        continue;
      }
    }
    event.m_action();
  }
  for (std::pair<TimePoint, ScheduledEvent>& entry : deferred) {
    m_events.emplace(entry.first, std::move(entry.second));
  }
  for (int i = 0; i < Gates(); ++i) {
    if (m_gates[i].m_alive && m_gates[i].m_frozen_until <= m_now) {
      ReadClaims(i);
      ExecuteActions(i);
    }
  }
}

void GateSimulation::Advance(Duration span) {
  const TimePoint end = m_now + span;
  while (m_now < end) {
    Step();
  }
}

void GateSimulation::ClearFaults() {
  m_log_down = false;
  m_answer_loss_rate = 0;
  m_append_delay = milliseconds(5);
  for (SimulatedEndpoint& endpoint : m_endpoints) {
    endpoint = SimulatedEndpoint();
  }
  for (int i = 0; i < Gates(); ++i) {
    m_gates[i].m_frozen_until = TimePoint();
    if (!m_gates[i].m_alive) {
      Restart(i);
    }
  }
}

std::vector<std::string> GateSimulation::CheckInvariants(
    bool all_finished) const {
  std::vector<std::string> violations;
  std::map<RequestId, int> by_request;
  std::map<std::string, int> by_key;
  for (const Execution& execution : m_executions) {
    ++by_request[execution.m_request_id];
    by_key[execution.m_key] += execution.m_key.empty() ? 0 : 1;
  }
  for (const std::pair<const std::string, int>& entry : by_key) {
    if (entry.second > 1) {
      violations.push_back("key " + entry.first + " ran " +
                           std::to_string(entry.second) + " times");
    }
  }
  for (const std::pair<const RequestId, int>& entry : by_request) {
    if (entry.second > 1) {
      violations.push_back("request " + std::to_string(entry.first) + " ran " +
                           std::to_string(entry.second) + " times");
    }
  }
  for (const std::pair<const RequestId, CallerRequest>& entry :
       m_caller_requests) {
    const CallerRequest& caller_request = entry.second;
    const std::string name = "request " + std::to_string(entry.first);
    const bool ran = by_request.count(entry.first) > 0;
    const bool replied_not_run = caller_request.m_reply_count > 0 &&
                                 caller_request.m_outcome == Outcome::kNotRun;
    if (replied_not_run && ran) {
      violations.push_back(name + " ran, but its caller got outcome not-run");
    }
    const bool replied_answered =
        caller_request.m_reply_count > 0 &&
        caller_request.m_outcome == Outcome::kAnswered;
    if (replied_answered && !caller_request.m_replayed && !ran) {
      violations.push_back(name + " got a new answer, but never ran");
    }
    if (caller_request.m_reply_count > 1) {
      violations.push_back(name + " was answered twice");
    }
    if (all_finished && caller_request.m_reply_count == 0 &&
        !caller_request.m_gate_killed) {
      violations.push_back(name + " was never answered");
    }
  }
  return violations;
}

namespace {

/// A fault, applied to a gate, an endpoint or the log.
using Fault = void (*)(GateSimulation* simulation, std::uint32_t target);

int PickGate(const GateSimulation& simulation, std::uint32_t target) {
  return static_cast<int>(target % simulation.Gates());
}

SimulatedEndpoint& PickEndpoint(GateSimulation* simulation,
                                std::uint32_t target) {
  return simulation->EndpointAt(
      static_cast<int>(target % simulation->Endpoints()));
}

constexpr std::array<Fault, 14> kFaults = {{
    [](GateSimulation* simulation, std::uint32_t target) {
      simulation->Kill(PickGate(*simulation, target));
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      simulation->Restart(PickGate(*simulation, target));
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      simulation->Freeze(PickGate(*simulation, target),
                         milliseconds(50 + target % 3000));
    },
    [](GateSimulation* simulation, std::uint32_t) {
      simulation->SetLogDown(true);
    },
    [](GateSimulation* simulation, std::uint32_t) {
      simulation->SetLogDown(false);
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      simulation->SetAnswerLossRate(target % 2 == 0 ? 0.0 : 0.5);
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      simulation->SetAppendDelay(
          milliseconds(target % 2 == 0 ? 5 : target % 1500));
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_draining = true;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_draining = false;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_drops_answers = true;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_drops_answers = false;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_unreachable = true;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_unreachable = false;
    },
    [](GateSimulation* simulation, std::uint32_t target) {
      PickEndpoint(simulation, target).m_slowdown = 1 + target % 5;
    },
}};

/// Sends idempotent requests ("quote"), and requests with a key ("order") that
/// are repeated through other gates.
void SendRequests(GateSimulation* simulation,
                  const GateStep& step,
                  std::uint32_t round) {
  for (std::uint32_t i = 0; i < 6; ++i) {
    simulation->Call(PickGate(*simulation, step.m_target + i), "",
                     milliseconds(150 + (step.m_span + i * 97) % 400));
  }
  const std::string key = "k" + std::to_string(round);
  for (std::uint32_t i = 0; i < 1 + step.m_target % 3; ++i) {
    simulation->Call(PickGate(*simulation, step.m_target + i), key,
                     milliseconds(200 + (step.m_span + i * 131) % 600));
  }
  // A repeat of an order of an earlier round.
  if (round > 2) {
    simulation->Call(PickGate(*simulation, step.m_span),
                     "k" + std::to_string(round - 1 - step.m_target % 3),
                     milliseconds(300));
  }
}

}  // namespace

std::vector<std::string> RunSteps(GateSimulation* simulation,
                                  const std::vector<GateStep>& steps) {
  std::uint32_t round = 0;
  for (const GateStep& step : steps) {
    ++round;
    kFaults[step.m_action % kFaults.size()](simulation, step.m_target);
    SendRequests(simulation, step, round);
    simulation->Advance(milliseconds(10 + step.m_span % 400));
  }
  simulation->ClearFaults();
  simulation->Advance(std::chrono::seconds(60));
  return simulation->CheckInvariants(true);
}

}  // namespace hyssopspar::testsuite
