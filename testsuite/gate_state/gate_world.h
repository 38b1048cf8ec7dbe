/// \file
/// Several gates over claim streams and endpoints in one process, under a clock
/// that the test moves.

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

struct GateWorldSettings {
  std::uint64_t m_seed = 1;
  int m_gates = 3;
  int m_endpoints = 4;
  std::string m_policy = "prediction";
};

/// What a caller sent, and what it was told.
struct Caller {
  int m_gate = 0;
  std::string m_key;
  TimePoint m_deadline;
  bool m_gate_lost = false;  ///< The gate was killed meanwhile.
  int m_replies = 0;
  Outcome m_outcome = Outcome::kNotRun;
  bool m_replayed = false;
};

/// One execution at an endpoint.
struct Execution {
  RequestId m_request = 0;
  int m_endpoint = 0;
  std::string m_key;
  TimePoint m_start;
  TimePoint m_end;
};

struct GateProcessModel {
  std::unique_ptr<GateCore> m_core;
  bool m_alive = false;
  TimePoint m_frozen_until;
  std::uint64_t m_generation = 0;
};

struct EndpointState {
  std::size_t m_busy = 0;
  bool m_leaving = false;
  bool m_silent = false;  ///< Runs requests, and its answers are lost.
  bool m_down = false;    ///< Connections to it are refused.
  double m_slowdown = 1;
};

class GateWorld {
 public:
  explicit GateWorld(const GateWorldSettings& settings);

  void Advance(Duration span);

  /// Sends a request through \p gate. An empty key means idempotent.
  void Call(int gate, const std::string& key, milliseconds timeout);

  void Kill(int gate);
  void Restart(int gate);
  void Freeze(int gate, Duration span);
  void SetLogDown(bool down) { m_log_down = down; }
  void SetLoseAnswers(double share) { m_lose_answers = share; }
  void SetAppendDelay(Duration delay) { m_append_delay = delay; }
  EndpointState& At(int endpoint) { return m_endpoints[endpoint]; }
  void Heal();

  int Gates() const { return static_cast<int>(m_gates.size()); }
  int Endpoints() const { return static_cast<int>(m_endpoints.size()); }
  const std::vector<Execution>& Executions() const { return m_executions; }
  const std::map<RequestId, Caller>& Callers() const { return m_callers; }

  /// Violations of the promises to callers; \p ended when nothing is under way.
  std::vector<std::string> Check(bool ended) const;

 private:
  struct Pending {
    int m_gate = -1;
    std::uint64_t m_generation = 0;
    std::function<void()> m_action;
  };

  void Later(int gate, Duration delay, std::function<void()> action);
  void Step();
  void Pump(int gate);
  void Dispatch(int gate, const DispatchAction& action);
  void Arrive(int gate, std::uint64_t generation, const DispatchAction& action);
  void End(int gate, RequestId request, ExchangeEnd end, Duration delay);
  void Append(int gate, const ClaimAction& action, int tries_left);
  void ReadClaims(int gate);
  Duration Draw(Duration least, Duration most);
  std::vector<Vm> ListVms() const;

  GateWorldSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now;
  standin::LogModel m_log;
  ConfigState m_config;
  bool m_log_down = false;
  double m_lose_answers = 0;
  Duration m_append_delay = milliseconds(5);
  std::vector<GateProcessModel> m_gates;
  std::vector<EndpointState> m_endpoints;
  std::multimap<TimePoint, Pending> m_pending;
  std::map<RequestId, Caller> m_callers;
  std::vector<Execution> m_executions;
  RequestId m_next_request = 1;
};

/// One generated step.
struct GateStep {
  std::uint32_t m_action = 0;
  std::uint32_t m_target = 0;
  std::uint32_t m_span = 0;
};

/// Runs all steps with load throughout, heals and lets all end.
std::vector<std::string> DriveGates(GateWorld* world,
                                    const std::vector<GateStep>& steps);

}  // namespace hyssopspar::testsuite
