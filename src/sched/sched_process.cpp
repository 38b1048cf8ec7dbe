#include "sched/sched_process.h"

#include <utility>

#include "hyssopspar/connection_budget.h"
#include "hyssopspar/health.h"
#include "hyssopspar/logging.h"

namespace hyssopspar::sched {

namespace {

constexpr std::size_t kEventQueueCapacity = 16384;
constexpr std::size_t kPoolQueueCapacity = 4096;  ///< For each pool thread.
constexpr std::size_t kAppendThreads = 8;
constexpr std::size_t kSyncThreads = 8;
constexpr int kHttpServerThreads = 2;
/// Room for several pages of the log.
constexpr std::size_t kMinBudgetBytes = 8 << 20;
constexpr milliseconds kTickPeriod{5};
/// Time limit for the append of a submission or cancellation, with all retries.
constexpr milliseconds kApiAppendTimeout{5000};
constexpr milliseconds kApiRetryInterval{100};
/// Time limit for the release of all cells in a graceful shutdown.
constexpr milliseconds kShutdownTimeout{20000};
constexpr const char* kLogComponent = "sched";

}  // namespace

SchedProcess::SchedProcess(const SchedConfig& config)
    : m_config(config),
      m_scheduler(config.m_sched, RandomId(), RandomId()),
      m_events(kEventQueueCapacity),
      m_append_pool(kAppendThreads, kPoolQueueCapacity),
      m_sync_pool(kSyncThreads, kPoolQueueCapacity),
      m_server(
          [this](HttpRequest request, HttpReply reply) {
            OnHttp(std::move(request), std::move(reply));
          },
          [&config] {
            HttpServerLimits limits;
            limits.m_max_connections = MaxServerConnections(config.m_limits, 2);
            return limits;
          }(),
          kHttpServerThreads) {
  for (std::size_t i = 0; i < kAppendThreads; ++i) {
    m_log_stores.push_back(
        std::make_unique<HttpLogStore>(config.m_log_address));
  }
  for (std::size_t i = 0; i < kSyncThreads; ++i) {
    m_worker_controls.push_back(std::make_unique<HttpWorkerControl>());
  }
}

SchedProcess::~SchedProcess() = default;

Result<void> SchedProcess::Start() {
  SetProcessBudget(m_config.m_limits, kMinBudgetBytes);
  Result<void> started = m_server.Start(m_config.m_listen);
  if (!started) {
    return started;
  }
  m_decision_thread = std::thread([this] { DecisionLoop(); });
  m_tick_thread = std::thread([this] { TickLoop(); });
  m_vm_poller = std::make_unique<VmPoller>(
      std::make_unique<HttpVmDirectory>(m_config.m_vm_list_address),
      m_config.m_vm_list_period, [this](std::vector<Vm> vms) {
        m_events.Push(VmListEvent{std::move(vms)});
      });
  return Ok();
}

void SchedProcess::ShutDown() {
  Log(kLogComponent)->info("graceful shutdown started");
  m_leaving.store(true);
  m_events.Push(ShutdownEvent{});
  const TimePoint deadline = Clock::now() + kShutdownTimeout;
  m_cells_released.WaitUntil(deadline);
  m_server.StopAccepting();
  while (m_server.InFlightRequests() > 0 &&
         !m_stop.WaitUntil(Clock::now() + kTickPeriod) &&
         Clock::now() < deadline) {
  }
  m_stop.Set();
  // Wakes the decision thread, so that it checks m_stop.
  m_events.Push(TickEvent{});
  m_tick_thread.join();
  m_vm_poller.reset();
  m_decision_thread.join();
  m_append_pool.Stop();
  m_sync_pool.Stop();
  m_server.Stop();
  Log(kLogComponent)->info("stopped handed_over={}", m_cells_released.IsSet());
}

void SchedProcess::OnHttp(HttpRequest request, HttpReply reply) {
  const std::optional<HttpResponse> health = HandleMonitoringRequest(
      request, m_metrics, m_ready.load() && !m_leaving.load());
  if (health) {
    reply(*health);
    return;
  }
  const HttpReply reject = reply;
  if (!m_events.TryPush(
          ApiRequestEvent{std::move(request), std::move(reply)})) {
    reject(ErrorResponse(503, "queue-full", "too many requests waiting"));
  }
}

void SchedProcess::TickLoop() {
  while (!m_stop.WaitUntil(Clock::now() + kTickPeriod)) {
    m_events.TryPush(TickEvent{});
  }
}

void SchedProcess::DecisionLoop() {
  while (!m_stop.IsSet()) {
    SchedEvent event = m_events.Pop();
    std::visit([this](auto& e) { Handle(std::move(e)); }, event);
  }
  m_readers.clear();
}

void SchedProcess::Handle(const StreamRead& event) {
  m_scheduler.OnRead(event.m_stream, event.m_slice, event.m_request_time,
                     Clock::now());
}

void SchedProcess::Handle(const AppendResultEvent& event) {
  m_scheduler.OnAppend(event.m_stream, event.m_succeeded, Clock::now());
}

void SchedProcess::Handle(const WorkerReportEvent& event) {
  m_scheduler.OnReport(event.m_cell, event.m_worker, event.m_report,
                       Clock::now());
}

void SchedProcess::Handle(const TransferResultEvent& event) {
  m_scheduler.OnTransfer(event.m_cell, event.m_order, event.m_succeeded);
}

void SchedProcess::Handle(const VmListEvent& event) {
  m_scheduler.OnVms(event.m_vms);
}

void SchedProcess::Handle(const ApiRequestEvent& event) {
  ApiResult result =
      HandleApiRequest(m_scheduler, event.m_request, Clock::now());
  if (result.m_response) {
    event.m_reply(std::move(*result.m_response));
  } else {
    SubmitApiAppend(std::move(*result.m_append), event.m_reply);
  }
}

void SchedProcess::Handle(const TickEvent& /*event*/) {
  SubmitOutput(m_scheduler.Tick(Clock::now()));
  UpdateStreamReaders();
  UpdateMetrics();
  m_ready.store(m_scheduler.IsReady());
  if (m_leaving.load() && m_scheduler.HasReleasedCells()) {
    m_cells_released.Set();
  }
}

void SchedProcess::Handle(const ShutdownEvent& /*event*/) {
  m_scheduler.BeginShutdown();
}

void SchedProcess::SubmitOutput(SchedulerOutput output) {
  for (const SchedulerOutput::Append& append : output.m_appends) {
    SubmitAppend(append.m_stream, append.m_payload);
  }
  for (const SchedulerOutput::Append& unretried : output.m_unretried_appends) {
    m_append_pool.TrySubmit(0, [this, unretried](std::size_t thread) {
      const TimePoint deadline = Clock::now() + m_config.m_append_timeout;
      const Result<Offset> appended = m_log_stores[thread]->Append(
          unretried.m_stream, unretried.m_payload, deadline);
      if (!appended) {
        Log(kLogComponent)
            ->debug("append without retry failed error=\"{}\"",
                    ToString(appended.error()));
      }
    });
  }
  for (SchedulerOutput::Sync& sync : output.m_syncs) {
    SubmitSync(std::move(sync));
  }
  for (SchedulerOutput::Transfer& transfer : output.m_transfers) {
    SubmitTransfer(std::move(transfer));
  }
}

void SchedProcess::SubmitAppend(const std::string& stream,
                                const std::string& payload) {
  const bool queued = m_append_pool.TrySubmit(
      Hash(stream), [this, stream, payload](std::size_t thread) {
        const TimePoint deadline = Clock::now() + m_config.m_append_timeout;
        const Result<Offset> appended =
            m_log_stores[thread]->Append(stream, payload, deadline);
        m_events.Push(AppendResultEvent{stream, appended.has_value()});
      });
  if (!queued) {
    m_scheduler.OnAppend(stream, false, Clock::now());
  }
}

void SchedProcess::SubmitSync(SchedulerOutput::Sync sync) {
  const std::string cell = sync.m_cell;
  const std::string worker = sync.m_order.m_worker;
  const bool queued = m_sync_pool.TrySubmit(
      Hash(worker), [this, sync = std::move(sync)](std::size_t thread) {
        const SyncOrder& order = sync.m_order;
        Result<WorkerReport> report = m_worker_controls[thread]->Sync(
            order.m_address, order.m_worker, order.m_sync,
            Clock::now() + m_config.m_sched.m_worker_timeout);
        m_events.Push(
            WorkerReportEvent{sync.m_cell, order.m_worker, std::move(report)});
      });
  if (!queued) {
    m_scheduler.OnReport(cell, worker,
                         Fail(ErrorCode::kNotSent, "worker request queue full"),
                         Clock::now());
  }
}

void SchedProcess::SubmitTransfer(SchedulerOutput::Transfer transfer) {
  const std::uint64_t key = Hash(transfer.m_order.m_target);
  m_append_pool.TrySubmit(
      key, [this, transfer = std::move(transfer)](std::size_t thread) {
        const TransferOrder& order = transfer.m_order;
        const Result<Offset> appended = m_log_stores[thread]->Append(
            CellStream(order.m_target), order.m_payload,
            Clock::now() + m_config.m_append_timeout);
        m_events.Push(
            TransferResultEvent{transfer.m_cell, order, appended.has_value()});
      });
}

void SchedProcess::SubmitApiAppend(ApiAppend append, const HttpReply& reply) {
  const std::uint64_t key = Hash(append.m_payload);
  const TimePoint deadline = Clock::now() + kApiAppendTimeout;
  const bool queued = m_append_pool.TrySubmit(
      key,
      [this, append = std::move(append), deadline, reply](std::size_t thread) {
        // The record is idempotent, so a failed append is retried even if it
        // may have taken effect.
        bool may_be_stored = false;
        while (Clock::now() < deadline) {
          const Result<Offset> appended = m_log_stores[thread]->Append(
              append.m_stream, append.m_payload,
              std::min(deadline, Clock::now() + m_config.m_append_timeout));
          if (appended) {
            reply(append.m_success_response);
            return;
          }
          may_be_stored = may_be_stored || MayHaveTakenEffect(appended.error());
          m_stop.WaitUntil(Clock::now() + kApiRetryInterval);
        }
        reply(may_be_stored
                  ? ErrorResponse(504, "unknown",
                                  "repeat with the same key to find out")
                  : ErrorResponse(503, "not-run", "log not available"));
      });
  if (!queued) {
    reply(ErrorResponse(503, "queue-full", "too many submits waiting"));
  }
}

void SchedProcess::UpdateStreamReaders() {
  const std::map<std::string, Offset> streams = m_scheduler.Streams();
  std::map<std::string, std::unique_ptr<StreamReader>>::iterator it =
      m_readers.begin();
  while (it != m_readers.end()) {
    it = streams.count(it->first) == 0 ? m_readers.erase(it) : std::next(it);
  }
  for (const std::pair<const std::string, Offset>& stream : streams) {
    if (m_readers.count(stream.first) > 0) {
      continue;
    }
    m_readers[stream.first] = std::make_unique<StreamReader>(
        stream.first, stream.second,
        std::make_unique<HttpLogStore>(m_config.m_log_address),
        [this](StreamRead read) { m_events.Push(std::move(read)); });
  }
}

void SchedProcess::UpdateMetrics() {
  m_metrics.Value("hyssopspar_sched_revision") =
      static_cast<std::int64_t>(m_scheduler.Config().m_revision);
  m_metrics.Value("hyssopspar_sched_members") =
      static_cast<std::int64_t>(m_scheduler.Members().m_members.size());
  for (const std::pair<const std::string, CellReplica>& entry :
       m_scheduler.Cells()) {
    const CellReplica& replica = entry.second;
    const std::string labels = FormatMetricLabel("cell", entry.first);
    m_metrics.Value("hyssopspar_cell_owned", labels) = replica.m_owned ? 1 : 0;
    m_metrics.Value("hyssopspar_cell_pending", labels) =
        static_cast<std::int64_t>(replica.m_replay.State().m_pending.size());
    m_metrics.Value("hyssopspar_cell_live", labels) =
        static_cast<std::int64_t>(replica.m_replay.State().m_live.size());
    m_metrics.Value("hyssopspar_cell_starts", labels) =
        static_cast<std::int64_t>(replica.m_counters.m_starts);
    m_metrics.Value("hyssopspar_cell_finishes", labels) =
        static_cast<std::int64_t>(replica.m_counters.m_finishes);
    m_metrics.Value("hyssopspar_cell_evictions", labels) =
        static_cast<std::int64_t>(replica.m_counters.m_evictions);
    m_metrics.Value("hyssopspar_cell_refused", labels) =
        static_cast<std::int64_t>(replica.m_counters.m_rejected);
    m_metrics.Value("hyssopspar_cell_batches", labels) =
        static_cast<std::int64_t>(replica.m_counters.m_batches);
  }
}

}  // namespace hyssopspar::sched
