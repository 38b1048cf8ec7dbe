/// \file
/// Threads of `hyssopspar-sched`, and the rings between them.

#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hyssopspar/bounded_ring.h"
#include "hyssopspar/http_platform.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/scheduler.h"
#include "hyssopspar/stop_flag.h"
#include "hyssopspar/stream_reader.h"
#include "hyssopspar/task_pool.h"
#include "hyssopspar/vm_poller.h"
#include "sched/sched_api.h"
#include "sched/sched_config.h"
#include "sched/sched_event.h"

namespace hyssopspar::sched {

/// One decision thread owns the Scheduler; every other thread carries bytes.
class SchedProcess {
 public:
  explicit SchedProcess(const SchedConfig& config);
  ~SchedProcess();

  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }

  /// Gives up all cells, answers what is under way, then stops the threads.
  void LeaveAndStop();

 private:
  void OnHttp(HttpRequest request, HttpReply reply);
  void DecisionLoop();
  void TickLoop();
  void Handle(const StreamRead& event);
  void Handle(const AppendEvent& event);
  void Handle(const ReportEvent& event);
  void Handle(const TransferEvent& event);
  void Handle(const VmsEvent& event);
  void Handle(const ApiEvent& event);
  void Handle(const TickEvent& event);
  void Handle(const LeaveEvent& event);
  void CarryOut(SchedulerOutput output);
  void SubmitAppend(const std::string& stream, const std::string& payload);
  void SubmitSync(SchedulerOutput::Sync sync);
  void SubmitTransfer(SchedulerOutput::Transfer transfer);
  void SubmitApiAppend(ApiAppend append, const HttpReply& reply);
  void FollowStreams();
  void UpdateMetrics();

  SchedConfig m_config;
  Scheduler m_scheduler;
  Metrics m_metrics;
  BoundedRing<SchedEvent> m_events;
  std::map<std::string, std::unique_ptr<StreamReader>> m_readers;
  std::vector<std::unique_ptr<HttpLogStore>> m_logs;  ///< One a thread.
  std::vector<std::unique_ptr<HttpWorkerControl>> m_controls;
  TaskPool m_append_pool;
  TaskPool m_worker_pool;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};
  StopFlag m_left;
  StopFlag m_stop;
  std::thread m_decision_thread;
  std::thread m_tick_thread;
  std::unique_ptr<VmPoller> m_vm_poller;
  HttpServer m_server;
};

}  // namespace hyssopspar::sched
