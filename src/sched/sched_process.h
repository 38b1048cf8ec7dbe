/// \file
/// The `hyssopspar-sched` process: its threads, and the bounded queues between
/// them.

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

/// Runs the Scheduler on one decision thread, which alone accesses it. The
/// other threads do input and output, and pass their results to it as events.
class SchedProcess {
 public:
  explicit SchedProcess(const SchedConfig& config);
  ~SchedProcess();

  /// Starts the HTTP server and the threads. Fails with kUnavailable if the
  /// listen address can't be bound.
  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }

  /// Releases all cells, finishes the requests in progress, then stops the
  /// threads.
  void ShutDown();

 private:
  void OnHttp(HttpRequest request, HttpReply reply);
  void DecisionLoop();
  void TickLoop();
  void Handle(const StreamRead& event);
  void Handle(const AppendResultEvent& event);
  void Handle(const WorkerReportEvent& event);
  void Handle(const TransferResultEvent& event);
  void Handle(const VmListEvent& event);
  void Handle(const ApiRequestEvent& event);
  void Handle(const TickEvent& event);
  void Handle(const ShutdownEvent& event);
  /// Submits the messages of a tick to the pools, without waiting for results.
  void SubmitOutput(SchedulerOutput output);
  void SubmitAppend(const std::string& stream, const std::string& payload);
  void SubmitSync(SchedulerOutput::Sync sync);
  void SubmitTransfer(SchedulerOutput::Transfer transfer);
  void SubmitApiAppend(ApiAppend append, const HttpReply& reply);
  /// Starts and stops stream readers according to Scheduler::Streams().
  void UpdateStreamReaders();
  void UpdateMetrics();

  SchedConfig m_config;
  Scheduler m_scheduler;
  Metrics m_metrics;
  BoundedRing<SchedEvent> m_events;
  std::map<std::string, std::unique_ptr<StreamReader>> m_readers;
  /// One for each append thread.
  std::vector<std::unique_ptr<HttpLogStore>> m_log_stores;
  /// One for each sync thread.
  std::vector<std::unique_ptr<HttpWorkerControl>> m_worker_controls;
  TaskPool m_append_pool;
  TaskPool m_sync_pool;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_leaving{false};  ///< A graceful shutdown is in progress.
  StopFlag m_cells_released;  ///< Set when the graceful shutdown is complete.
  StopFlag m_stop;            ///< Ends the decision and tick threads.
  std::thread m_decision_thread;
  std::thread m_tick_thread;
  std::unique_ptr<VmPoller> m_vm_poller;
  HttpServer m_server;
};

}  // namespace hyssopspar::sched
