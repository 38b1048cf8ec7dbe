/// \file
/// Simulation of several gates, the log with their claim streams, endpoints and
/// callers, with a simulated clock and injected faults.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hyssopspar/gate_core.h"
#include "standin/log_model.h"

namespace hyssopspar::testsuite {

/// Size and seed of a simulation.
struct GateSimulationSettings {
  std::uint64_t m_seed = 1;
  int m_gates = 3;
  int m_endpoints = 4;
  std::string m_policy = "prediction";
};

/// One request of a caller, and the reply it got.
struct CallerRequest {
  int m_gate = 0;
  std::string m_key;
  TimePoint m_deadline;
  bool m_gate_killed = false;  ///< The gate was killed before it replied.
  int m_reply_count = 0;
  Outcome m_outcome = Outcome::kNotRun;
  bool m_replayed = false;
};

/// One execution of a request at an endpoint.
struct Execution {
  RequestId m_request_id = 0;
  int m_endpoint = 0;
  std::string m_key;
  TimePoint m_start;
  TimePoint m_end;
};

/// A gate process.
struct SimulatedGate {
  std::unique_ptr<GateCore> m_core;
  bool m_alive = false;
  TimePoint m_frozen_until;
  /// Number of kills. Scheduled events of earlier generations are dropped.
  std::uint64_t m_generation = 0;
};

/// An endpoint and its faults.
struct SimulatedEndpoint {
  std::size_t m_busy = 0;
  bool m_draining = false;       ///< Refuses new requests.
  bool m_drops_answers = false;  ///< Requests run, but answers are lost.
  bool m_unreachable = false;    ///< Connections are refused.
  double m_slowdown = 1;         ///< Factor on service times.
};

/// Gates, log, endpoints and callers on one simulated clock.
class GateSimulation {
 public:
  explicit GateSimulation(const GateSimulationSettings& settings);

  /// Runs the simulation for \p span.
  void Advance(Duration span);

  /// Sends a request through \p gate. An empty key means idempotent.
  void Call(int gate, const std::string& key, milliseconds timeout);

  void Kill(int gate);
  void Restart(int gate);                ///< Kills the gate first if it runs.
  void Freeze(int gate, Duration span);  ///< The gate does nothing for \p span.
  void SetLogDown(bool down) { m_log_down = down; }
  void SetAnswerLossRate(double probability) {
    m_answer_loss_rate = probability;
  }
  void SetAppendDelay(Duration delay) { m_append_delay = delay; }
  SimulatedEndpoint& EndpointAt(int endpoint) { return m_endpoints[endpoint]; }

  /// Removes all faults and restarts killed gates.
  void ClearFaults();

  int Gates() const { return static_cast<int>(m_gates.size()); }
  int Endpoints() const { return static_cast<int>(m_endpoints.size()); }
  const std::vector<Execution>& Executions() const { return m_executions; }
  const std::map<RequestId, CallerRequest>& CallerRequests() const {
    return m_caller_requests;
  }

  /// Violations of what gates guarantee to callers, empty if there is none.
  /// With \p all_finished, also requests that were never answered.
  std::vector<std::string> CheckInvariants(bool all_finished) const;

 private:
  /// Dropped if its gate was killed after it was scheduled; delayed while the
  /// gate is frozen.
  struct ScheduledEvent {
    int m_gate = -1;  ///< -1 if the event does not depend on a gate.
    std::uint64_t m_generation = 0;
    std::function<void()> m_action;
  };

  /// Runs \p action after \p delay; \p gate as in ScheduledEvent.
  void Schedule(int gate, Duration delay, std::function<void()> action);
  void Step();
  /// Executes the actions that a gate returns.
  void ExecuteActions(int gate);
  void Dispatch(int gate, const DispatchAction& action);
  void ArriveAtEndpoint(int gate,
                        std::uint64_t generation,
                        const DispatchAction& action);
  void EndExchange(int gate,
                   RequestId request,
                   ExchangeResult result,
                   Duration delay);
  void Append(int gate, const ClaimAppendAction& action, int retries_left);
  void ReadClaims(int gate);
  Duration RandomDuration(Duration min, Duration max);
  std::vector<Vm> ListVms() const;

  GateSimulationSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now;
  standin::LogModel m_log;
  ConfigState m_config;
  bool m_log_down = false;
  double m_answer_loss_rate = 0;
  Duration m_append_delay = milliseconds(5);
  std::vector<SimulatedGate> m_gates;
  std::vector<SimulatedEndpoint> m_endpoints;
  std::multimap<TimePoint, ScheduledEvent> m_events;
  std::map<RequestId, CallerRequest> m_caller_requests;
  std::vector<Execution> m_executions;
  RequestId m_next_request = 1;
};

/// One generated step: a fault, then requests, then a span of time. Any values
/// are valid; they are reduced to what exists.
struct GateStep {
  std::uint32_t m_action = 0;  ///< Index of the fault.
  std::uint32_t m_target = 0;  ///< Gate, endpoint or parameter of the fault.
  std::uint32_t m_span = 0;    ///< Determines timeouts and the time to run.
};

/// Runs all steps with load, clears the faults, waits until all requests ended,
/// and returns the violations.
std::vector<std::string> RunSteps(GateSimulation* simulation,
                                  const std::vector<GateStep>& steps);

}  // namespace hyssopspar::testsuite
