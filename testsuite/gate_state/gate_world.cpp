#include "gate_state/gate_world.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hyssopspar::testsuite {

namespace {

constexpr milliseconds kStep{5};
constexpr milliseconds kReadDelay{10};
constexpr milliseconds kAppendTimeout{300};
constexpr milliseconds kRetryPause{100};
constexpr int kReleaseTries = 400;
constexpr milliseconds kLeastService{10};
constexpr milliseconds kMostService{80};
/// Lateness allowed for a reply of a gate that was not frozen.
constexpr const char* kService = "s";

}  // namespace

GateWorld::GateWorld(const GateWorldSettings& settings)
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

Duration GateWorld::Draw(Duration least, Duration most) {
  std::uniform_int_distribution<std::int64_t> draw(least.count(), most.count());
  return Duration(draw(m_random));
}

std::vector<Vm> GateWorld::ListVms() const {
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

void GateWorld::Restart(int gate) {
  Kill(gate);
  GateProcessModel& process = m_gates[gate];
  GateSettings settings;
  settings.m_name = "g" + std::to_string(gate);
  settings.m_policy = m_settings.m_policy;
  settings.m_refused_pause = milliseconds(200);
  process.m_core = std::make_unique<GateCore>(settings, m_random() | 1);
  process.m_alive = true;
  process.m_frozen_until = TimePoint();
  process.m_core->OnConfig(m_config, m_now);
  process.m_core->OnVms(ListVms(), m_now);
}

void GateWorld::Kill(int gate) {
  ++m_gates[gate].m_generation;
  m_gates[gate].m_alive = false;
  for (std::pair<const RequestId, Caller>& entry : m_callers) {
    Caller& caller = entry.second;
    caller.m_gate_lost =
        caller.m_gate_lost || (caller.m_gate == gate && caller.m_replies == 0);
  }
}

void GateWorld::Freeze(int gate, Duration span) {
  m_gates[gate].m_frozen_until = m_now + span;
}

void GateWorld::Later(int gate, Duration delay, std::function<void()> action) {
  const std::uint64_t generation = gate < 0 ? 0 : m_gates[gate].m_generation;
  m_pending.emplace(m_now + delay,
                    Pending{gate, generation, std::move(action)});
}

void GateWorld::Call(int gate, const std::string& key, milliseconds timeout) {
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
  Caller caller;
  caller.m_gate = gate;
  caller.m_key = key;
  caller.m_deadline = request.m_deadline;
  m_callers[request.m_id] = caller;
  Later(gate, milliseconds(1), [this, gate, request] {
    m_gates[gate].m_core->OnRequest(request, m_now);
  });
}

void GateWorld::Pump(int gate) {
  const GateOutput output = m_gates[gate].m_core->Pump(m_now);
  for (const DispatchAction& action : output.m_dispatches) {
    Dispatch(gate, action);
  }
  for (const ReplyAction& action : output.m_replies) {
    Caller& caller = m_callers.at(action.m_request);
    ++caller.m_replies;
    caller.m_outcome = action.m_outcome;
    caller.m_replayed = action.m_replayed;
  }
  for (const ClaimAction& action : output.m_claims) {
    Append(gate, action, action.m_request == 0 ? kReleaseTries : 0);
  }
}

void GateWorld::Dispatch(int gate, const DispatchAction& action) {
  Later(gate, Draw(milliseconds(0), milliseconds(3)), [this, gate, action] {
    const EndpointState& endpoint = m_endpoints[std::stoi(action.m_address)];
    if (endpoint.m_down) {
      End(gate, action.m_request, ExchangeEnd::kNotSent, milliseconds(1));
      return;
    }
    // Once on its way it arrives, whatever becomes of the gate.
    const std::uint64_t generation = m_gates[gate].m_generation;
    Later(
        -1, Draw(milliseconds(1), milliseconds(4)),
        [this, gate, generation, action] { Arrive(gate, generation, action); });
  });
}

void GateWorld::Arrive(int gate,
                       std::uint64_t generation,
                       const DispatchAction& action) {
  const int index = std::stoi(action.m_address);
  EndpointState& endpoint = m_endpoints[index];
  const bool lives = m_gates[gate].m_generation == generation;
  if (endpoint.m_leaving) {
    if (lives) {
      End(gate, action.m_request, ExchangeEnd::kRefused, milliseconds(2));
    }
    return;
  }
  const Duration service = std::chrono::duration_cast<Duration>(
      Draw(kLeastService, kMostService) * endpoint.m_slowdown);
  const Caller& caller = m_callers.at(action.m_request);
  m_executions.push_back(
      Execution{action.m_request, index, caller.m_key, m_now, m_now + service});
  const Duration left = std::max(Duration::zero(), action.m_deadline - m_now);
  if (!lives) {
    return;
  }
  const bool answered = !endpoint.m_silent && service <= left;
  End(gate, action.m_request,
      answered ? ExchangeEnd::kAnswered : ExchangeEnd::kUnknown,
      answered ? service : left);
}

void GateWorld::End(int gate,
                    RequestId request,
                    ExchangeEnd end,
                    Duration delay) {
  Later(gate, delay, [this, gate, request, end] {
    ClaimOutcome outcome;
    outcome.m_known = end == ExchangeEnd::kAnswered;
    outcome.m_status = 200;
    m_gates[gate].m_core->OnExchange(request, end, outcome, m_now);
  });
}

void GateWorld::Append(int gate, const ClaimAction& action, int tries_left) {
  Later(gate, Draw(milliseconds(0), milliseconds(2)),
        [this, gate, action, tries_left] {
          const auto done = [this, gate, action, tries_left](bool succeeded,
                                                             bool maybe) {
            if (!succeeded && tries_left > 0) {
              Append(gate, action, tries_left - 1);
            } else if (action.m_request != 0) {
              m_gates[gate].m_core->OnClaimAppend(action.m_request, succeeded,
                                                  maybe, m_now);
            }
          };
          if (m_log_down) {
            Later(gate, kRetryPause, [done] { done(false, false); });
            return;
          }
          const Duration effect =
              m_append_delay + Draw(milliseconds(0), milliseconds(8));
          std::bernoulli_distribution lose(m_lose_answers);
          const bool lost = lose(m_random) || effect > kAppendTimeout;
          Later(-1, effect, [this, action] {
            standin::AppendTo(&m_log, action.m_stream, action.m_payload);
          });
          Later(gate, lost ? Duration(kAppendTimeout) : effect,
                [done, lost] { done(!lost, lost); });
        });
}

void GateWorld::ReadClaims(int gate) {
  if (m_log_down) {
    return;
  }
  GateCore& core = *m_gates[gate].m_core;
  for (const std::pair<const std::string, Offset>& stream :
       core.ClaimStreams()) {
    const LogSlice slice =
        standin::ReadFrom(m_log, stream.first, stream.second, 100);
    if (!slice.m_records.empty()) {
      Later(gate, kReadDelay, [this, gate, stream, slice] {
        m_gates[gate].m_core->OnClaimRead(stream.first, slice, m_now);
      });
    }
  }
}

void GateWorld::Step() {
  m_now += kStep;
  std::vector<std::pair<TimePoint, Pending>> held;
  while (!m_pending.empty() && m_pending.begin()->first <= m_now) {
    const TimePoint due = m_pending.begin()->first;
    Pending pending = std::move(m_pending.begin()->second);
    m_pending.erase(m_pending.begin());
    if (pending.m_gate >= 0) {
      const GateProcessModel& process = m_gates[pending.m_gate];
      if (process.m_generation != pending.m_generation) {
        continue;
      }
      if (process.m_frozen_until > m_now) {
        held.emplace_back(due, std::move(pending));
        continue;
      }
    }
    pending.m_action();
  }
  for (std::pair<TimePoint, Pending>& entry : held) {
    m_pending.emplace(entry.first, std::move(entry.second));
  }
  for (int i = 0; i < Gates(); ++i) {
    if (m_gates[i].m_alive && m_gates[i].m_frozen_until <= m_now) {
      ReadClaims(i);
      Pump(i);
    }
  }
}

void GateWorld::Advance(Duration span) {
  const TimePoint end = m_now + span;
  while (m_now < end) {
    Step();
  }
}

void GateWorld::Heal() {
  m_log_down = false;
  m_lose_answers = 0;
  m_append_delay = milliseconds(5);
  for (EndpointState& endpoint : m_endpoints) {
    endpoint = EndpointState();
  }
  for (int i = 0; i < Gates(); ++i) {
    m_gates[i].m_frozen_until = TimePoint();
    if (!m_gates[i].m_alive) {
      Restart(i);
    }
  }
}

std::vector<std::string> GateWorld::Check(bool ended) const {
  std::vector<std::string> violations;
  std::map<RequestId, int> by_request;
  std::map<std::string, int> by_key;
  for (const Execution& execution : m_executions) {
    ++by_request[execution.m_request];
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
  for (const std::pair<const RequestId, Caller>& entry : m_callers) {
    const Caller& caller = entry.second;
    const std::string name = "request " + std::to_string(entry.first);
    const bool ran = by_request.count(entry.first) > 0;
    const bool told_not_run =
        caller.m_replies > 0 && caller.m_outcome == Outcome::kNotRun;
    if (told_not_run && ran) {
      violations.push_back(name + " ran, and was told not-run");
    }
    const bool told_answered =
        caller.m_replies > 0 && caller.m_outcome == Outcome::kAnswered;
    if (told_answered && !caller.m_replayed && !ran) {
      violations.push_back(name + " was answered and never ran");
    }
    if (caller.m_replies > 1) {
      violations.push_back(name + " was answered twice");
    }
    if (ended && caller.m_replies == 0 && !caller.m_gate_lost) {
      violations.push_back(name + " was never answered");
    }
  }
  return violations;
}

namespace {

using Action = void (*)(GateWorld* world, std::uint32_t target);

int GateOf(const GateWorld& world, std::uint32_t target) {
  return static_cast<int>(target % world.Gates());
}

EndpointState& EndpointOf(GateWorld* world, std::uint32_t target) {
  return world->At(static_cast<int>(target % world->Endpoints()));
}

constexpr std::array<Action, 14> kActions = {{
    [](GateWorld* w, std::uint32_t t) { w->Kill(GateOf(*w, t)); },
    [](GateWorld* w, std::uint32_t t) { w->Restart(GateOf(*w, t)); },
    [](GateWorld* w, std::uint32_t t) {
      w->Freeze(GateOf(*w, t), milliseconds(50 + t % 3000));
    },
    [](GateWorld* w, std::uint32_t) { w->SetLogDown(true); },
    [](GateWorld* w, std::uint32_t) { w->SetLogDown(false); },
    [](GateWorld* w, std::uint32_t t) {
      w->SetLoseAnswers(t % 2 == 0 ? 0.0 : 0.5);
    },
    [](GateWorld* w, std::uint32_t t) {
      w->SetAppendDelay(milliseconds(t % 2 == 0 ? 5 : t % 1500));
    },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_leaving = true; },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_leaving = false; },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_silent = true; },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_silent = false; },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_down = true; },
    [](GateWorld* w, std::uint32_t t) { EndpointOf(w, t).m_down = false; },
    [](GateWorld* w, std::uint32_t t) {
      EndpointOf(w, t).m_slowdown = 1 + t % 5;
    },
}};

/// A few callers: quotations, and orders that callers repeat elsewhere.
void CallSome(GateWorld* world, const GateStep& step, std::uint32_t round) {
  for (std::uint32_t i = 0; i < 6; ++i) {
    world->Call(GateOf(*world, step.m_target + i), "",
                milliseconds(150 + (step.m_span + i * 97) % 400));
  }
  const std::string key = "k" + std::to_string(round);
  for (std::uint32_t i = 0; i < 1 + step.m_target % 3; ++i) {
    world->Call(GateOf(*world, step.m_target + i), key,
                milliseconds(200 + (step.m_span + i * 131) % 600));
  }
  // A caller that comes back to an earlier order through any gate.
  if (round > 2) {
    world->Call(GateOf(*world, step.m_span),
                "k" + std::to_string(round - 1 - step.m_target % 3),
                milliseconds(300));
  }
}

}  // namespace

std::vector<std::string> DriveGates(GateWorld* world,
                                    const std::vector<GateStep>& steps) {
  std::uint32_t round = 0;
  for (const GateStep& step : steps) {
    ++round;
    kActions[step.m_action % kActions.size()](world, step.m_target);
    CallSome(world, step, round);
    world->Advance(milliseconds(10 + step.m_span % 400));
  }
  world->Heal();
  world->Advance(std::chrono::seconds(60));
  return world->Check(true);
}

}  // namespace hyssopspar::testsuite
