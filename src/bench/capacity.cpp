// Benchmarks how size, memory and processor time grow with the number of
// objects, fits a line to each, and extrapolates the cost of each process to
// the target deployment. Prints the tables of docs/CAPACITY.md.

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "bench/fit.h"
#include "hyssopspar/cell_owner.h"
#include "hyssopspar/cell_replay.h"
#include "hyssopspar/claim_state.h"
#include "hyssopspar/gate_core.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/platform_codec.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::bench {
namespace {

// Size of the target deployment.
constexpr double kWorkers = 22000;
constexpr double kTasks = 555000;
constexpr double kStartsPerSecond = 5700;
constexpr double kWorkersPerCell = 100;
constexpr double kCells = kWorkers / kWorkersPerCell;
constexpr double kTasksPerCell = kTasks / kCells;
constexpr double kTasksPerWorker = kTasks / kWorkers;
constexpr double kStartsPerCell = kStartsPerSecond / kCells;
constexpr double kConfigChangesPerSecond = 11000.0 / 86400.0;
constexpr double kTenants = 110;
// Each task takes two decisions in its cell's stream: commit and finish.
constexpr double kDecisionsPerTask = 2;
// The log's read answers carry records as base64 in JSON.
constexpr double kBase64Expansion = 4.0 / 3.0;
constexpr double kRecordJsonBytes = 40;
// Size of the request and response headers of one HTTP exchange.
constexpr double kHttpHeaderBytes = 330;
// Schedulers that follow a cell's stream, including the owner.
constexpr double kReplicasPerCell = 3;
constexpr double kCellsPerScheduler = 6;
constexpr double kSchedulers = kCells / kCellsPerScheduler;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double AllocatedHeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Processor time of one call of \p operation in microseconds: the mean over
/// \p calls calls, and the minimum of three rounds.
double MinCpuMicros(int calls, const std::function<void()>& operation) {
  double min_micros = 1e30;
  for (int round = 0; round < 3; ++round) {
    const double before = CpuSeconds();
    for (int i = 0; i < calls; ++i) {
      operation();
    }
    min_micros = std::min(min_micros, (CpuSeconds() - before) / calls * 1e6);
  }
  return min_micros;
}

/// A cell with running tasks, built by replay of encoded batches.
class SampleCell {
 public:
  /// Spreads \p tasks tasks of one job over \p workers workers.
  SampleCell(int workers, int tasks) {
    m_settings.m_name = "s";
    m_config.m_revision = 1;
    m_config.m_doc.m_failure_domains = {FailureDomainConfig{"d", 1}};
    AppendBatch(Batch{1, 1, 0, {OwnerClaim{"s", 0, 0}}});
    Batch worker_table{1, 2, 1, {}};
    for (int w = 0; w < workers; ++w) {
      const std::string name = "worker-" + std::to_string(w);
      worker_table.m_decisions.emplace_back(
          WorkerAdd{name, "d", "rack", Resources{64000, 256000, 0}});
      Vm vm;
      vm.m_name = name;
      vm.m_failure_domain = "d";
      vm.m_address = "10.0.0.1:7000";
      vm.m_capacity = Resources{64000, 256000, 0};
      m_vms[name] = vm;
    }
    AppendBatch(worker_table);
    AdmitJob(tasks);
    Batch commits{1, 3, 1, {}};
    for (int t = 0; t < tasks; ++t) {
      commits.m_decisions.emplace_back(TaskCommit{
          TaskId{kJob, static_cast<std::uint32_t>(t)}, 1,
          static_cast<WorkerIndex>(t % workers), Resources{100, 100, 0}});
    }
    AppendBatch(commits);
  }

  void AdmitJob(int tasks) {
    JobSpec spec;
    spec.m_id = kJob;
    spec.m_tenant = "tenant";
    spec.m_name = "job";
    spec.m_class = "class";
    spec.m_tasks = static_cast<std::uint32_t>(tasks);
    spec.m_size = Resources{100, 100, 0};
    AppendBatch(Batch{0, 0, 0, {JobAdmit{spec}}});
  }

  void AppendBatch(const Batch& batch) {
    LogSlice slice;
    slice.m_records = {LogRecord{m_next++, EncodeBatch(batch)}};
    slice.m_end = m_next;
    const CellContext context = Context();
    HandleCellRead(&m_replica, context, slice, m_now, m_now);
  }

  CellContext Context() {
    CellContext context;
    context.m_settings = &m_settings;
    context.m_config = &m_config;
    context.m_config_ready = true;
    context.m_config_as_of = m_now;
    context.m_vms = &m_vms;
    context.m_membership = &m_membership;
    return context;
  }

  /// Makes the replica the owner, with valid leases and a report from every
  /// worker.
  CellReplica* PrepareOwner() {
    m_replica.m_owned = true;
    m_replica.m_lease_deadline = m_now + std::chrono::hours(1);
    m_replica.m_outage_deadline = m_now + std::chrono::hours(1);
    const CellState& state = m_replica.m_replay.State();
    for (const WorkerSlot& slot : state.m_workers) {
      WorkerReport report;
      report.m_boot_id = 1;
      report.m_now = WorkerTime(milliseconds(1));
      for (const TaskId& id : slot.m_live) {
        report.m_tasks.push_back(
            TaskReport{AttemptId{id, 1}, TaskPhase::kRunning, 500});
        m_replica.m_own_commits.insert(AttemptId{id, 1});
      }
      ApplyWorkerReport(&m_replica.m_workers[slot.m_name], report, m_now);
    }
    return &m_replica;
  }

  const CellState& State() const { return m_replica.m_replay.State(); }
  TimePoint Now() const { return m_now; }

  static constexpr JobId kJob = 0x123456789abcdef0;

 private:
  SchedSettings m_settings;
  ConfigState m_config;
  std::map<std::string, Vm> m_vms;
  Membership m_membership;
  CellReplica m_replica;
  Offset m_next = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

/// Fitted lines of all benchmarks.
struct BenchmarkResults {
  std::string m_slope_rows;  ///< Rows of the table of slopes, as Markdown.
  LinearFit m_batch_bytes;
  LinearFit m_replay_micros;
  LinearFit m_cell_bytes_by_tasks;
  LinearFit m_cell_bytes_by_workers;
  LinearFit m_plan_micros_by_tasks;
  LinearFit m_plan_micros_by_workers;
  LinearFit m_snapshot_bytes;
  LinearFit m_sync_bytes;
  LinearFit m_sync_micros;
  LinearFit m_route_micros;
  LinearFit m_report_bytes;
  LinearFit m_claim_bytes;
  LinearFit m_config_bytes;
  LinearFit m_config_micros;
  LinearFit m_heartbeat_bytes;
};

/// Fits a line to \p points and adds it to the table of slopes.
LinearFit AddFit(BenchmarkResults* results,
                 const std::string& name,
                 const std::string& unit,
                 const std::vector<Point>& points) {
  const LinearFit fit = FitLinearModel(points);
  results->m_slope_rows += RenderRow(name, unit, points, fit);
  return fit;
}

/// A batch of \p decisions decisions, half commits and half finishes.
Batch CommitBatch(int decisions) {
  Batch batch{1, 1, 1, {}};
  for (int i = 0; i < decisions / 2; ++i) {
    const TaskId id{SampleCell::kJob, static_cast<std::uint32_t>(i)};
    batch.m_decisions.emplace_back(TaskCommit{
        id, 1, static_cast<WorkerIndex>(i % 100), Resources{8000, 16000, 0}});
    batch.m_decisions.emplace_back(TaskFinish{id, 1});
  }
  return batch;
}

void MeasureReplay(BenchmarkResults* results) {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int decisions : {50, 100, 200, 400}) {
    const std::string payload = EncodeBatch(CommitBatch(decisions));
    bytes.push_back({double(decisions), double(payload.size())});
    CellState base;
    Apply(&base, 0, Batch{1, 1, 0, {OwnerClaim{"s", 0, 0}}});
    Batch worker_table{1, 2, 1, {}};
    for (int w = 0; w < 100; ++w) {
      worker_table.m_decisions.emplace_back(
          WorkerAdd{std::to_string(w), "d", "r", Resources{64000, 256000, 0}});
    }
    Apply(&base, 1, worker_table);
    JobSpec spec;
    spec.m_id = SampleCell::kJob;
    spec.m_tasks = static_cast<std::uint32_t>(decisions / 2);
    Apply(&base, 2, Batch{0, 0, 0, {JobAdmit{spec}}});
    const double copy = MinCpuMicros(200, [&base] {
      CellState state = base;
      state.m_has_records = true;
    });
    const double copy_and_replay = MinCpuMicros(200, [&base, &payload] {
      CellState state = base;
      Batch batch = DecodeBatch(payload).value();
      batch.m_sequence = 3;
      Apply(&state, 3, batch);
    });
    micros.push_back({double(decisions), copy_and_replay - copy});
  }
  results->m_batch_bytes =
      AddFit(results, "record size over decisions", "B", bytes);
  results->m_replay_micros =
      AddFit(results, "replay time over decisions", "us", micros);
}

void MeasureCell(BenchmarkResults* results) {
  std::vector<Point> memory_bytes;
  std::vector<Point> snapshot_bytes;
  std::vector<Point> plan_micros;
  for (const int tasks : {500, 1000, 2000, 4000}) {
    const double before = AllocatedHeapBytes();
    SampleCell cell(100, tasks);
    CellReplica* owner = cell.PrepareOwner();
    memory_bytes.push_back({double(tasks), AllocatedHeapBytes() - before});
    snapshot_bytes.push_back(
        {double(tasks), double(EncodeCellState(cell.State()).size())});
    const CellContext context = cell.Context();
    plan_micros.push_back(
        {double(tasks), MinCpuMicros(20, [&cell, owner, &context] {
           PlanCell(owner, context, cell.Now());
         })});
  }
  results->m_cell_bytes_by_tasks =
      AddFit(results, "owner's memory over tasks", "B", memory_bytes);
  results->m_snapshot_bytes =
      AddFit(results, "snapshot size over tasks", "B", snapshot_bytes);
  results->m_plan_micros_by_tasks =
      AddFit(results, "planning over tasks", "us", plan_micros);
  std::vector<Point> memory_bytes_by_workers;
  std::vector<Point> plan_micros_by_workers;
  for (const int workers : {25, 50, 100, 200}) {
    const double before = AllocatedHeapBytes();
    SampleCell cell(workers, 500);
    CellReplica* owner = cell.PrepareOwner();
    memory_bytes_by_workers.push_back(
        {double(workers), AllocatedHeapBytes() - before});
    const CellContext context = cell.Context();
    plan_micros_by_workers.push_back(
        {double(workers), MinCpuMicros(20, [&cell, owner, &context] {
           PlanCell(owner, context, cell.Now());
         })});
  }
  results->m_cell_bytes_by_workers = AddFit(
      results, "owner's memory over workers", "B", memory_bytes_by_workers);
  results->m_plan_micros_by_workers =
      AddFit(results, "planning over workers", "us", plan_micros_by_workers);
}

void MeasureSync(BenchmarkResults* results) {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int tasks : {5, 10, 25, 50}) {
    WorkerReport report;
    report.m_boot_id = 77;
    report.m_now = WorkerTime(std::chrono::hours(1000));
    for (int t = 0; t < tasks; ++t) {
      report.m_tasks.push_back(
          TaskReport{AttemptId{TaskId{SampleCell::kJob, 1000}, 1},
                     TaskPhase::kRunning, 500});
    }
    WorkerSync sync;
    sync.m_boot_id = 77;
    const std::string answer = EncodeReport(report);
    bytes.push_back(
        {double(tasks), double(answer.size() + EncodeSync(sync).size())});
    micros.push_back({double(tasks), MinCpuMicros(200, [&answer, &sync] {
                        EncodeSync(sync);
                        DecodeReport(answer).value();
                      })});
  }
  results->m_sync_bytes =
      AddFit(results, "renewal, both ways, over a worker's tasks", "B", bytes);
  results->m_sync_micros = AddFit(
      results, "renewal at the scheduler over a worker's tasks", "us", micros);
}

ConfigState MakeConfig(int services) {
  ConfigState config;
  config.m_revision = 1;
  for (int i = 0; i < services; ++i) {
    ServiceConfig service;
    service.m_name = "service-" + std::to_string(i);
    service.m_classes = {RequestClass{"urgent", true, milliseconds(800)},
                         RequestClass{"order", false, milliseconds(3000)}};
    config.m_doc.m_services.push_back(service);
    JobConfig job;
    job.m_name = "job-" + std::to_string(i);
    job.m_tenant = "tenant";
    config.m_doc.m_jobs.push_back(job);
  }
  config.m_doc.m_tenants = {TenantConfig{"tenant", 1, 1.0}};
  return config;
}

void MeasureGate(BenchmarkResults* results) {
  std::vector<Point> route_micros;
  std::vector<Point> report_bytes;
  for (const int endpoints : {25, 50, 100, 200}) {
    GateCore gate(GateSettings(), 1);
    TimePoint now{std::chrono::hours(1)};
    gate.OnConfig(MakeConfig(1), now);
    std::vector<Vm> vms(endpoints);
    for (int i = 0; i < endpoints; ++i) {
      vms[i].m_name = "endpoint-" + std::to_string(i);
      vms[i].m_kind = VmKind::kEndpoint;
      vms[i].m_service = "service-0";
      vms[i].m_slots = 8;
    }
    gate.OnVms(vms, now);
    RequestId next_id = 1;
    route_micros.push_back(
        {double(endpoints), MinCpuMicros(2000, [&gate, &next_id, &now] {
           GateRequest request;
           request.m_id = next_id++;
           request.m_service = "service-0";
           request.m_class = "urgent";
           request.m_tenant = "tenant";
           request.m_deadline = now + std::chrono::seconds(1);
           gate.OnRequest(request, now);
           gate.DispatchPending(now);
           now += milliseconds(1);
           gate.OnExchange(request.m_id, ExchangeResult::kAnswered,
                           ClaimOutcome(), now);
           gate.DispatchPending(now);
         })});
    PeerReport peer_report;
    peer_report.m_name = "gate-1";
    for (int i = 0; i < endpoints; ++i) {
      peer_report.m_in_flight_counts.push_back(
          EndpointInFlight{Hash(std::to_string(i)), 3});
    }
    report_bytes.push_back(
        {double(endpoints), double(EncodePeerReport(peer_report).size())});
  }
  results->m_route_micros = AddFit(
      results, "one request at a gate over endpoints", "us", route_micros);
  results->m_report_bytes =
      AddFit(results, "gate report over busy endpoints", "B", report_bytes);
  std::vector<Point> claim_bytes;
  for (const int keys : {2000, 4000, 8000}) {
    const double before = AllocatedHeapBytes();
    ClaimState state;
    for (Offset i = 0; i < static_cast<Offset>(keys); ++i) {
      const std::string key = "tenant/key-" + std::to_string(1000000 + i);
      ApplyClaim(&state, 2 * i, ClaimAcquire{key, 1});
      ClaimOutcome outcome;
      outcome.m_key = key;
      outcome.m_token = 1;
      outcome.m_body = std::string(200, 'x');
      ApplyClaim(&state, 2 * i + 1, outcome);
    }
    claim_bytes.push_back({double(keys), AllocatedHeapBytes() - before});
  }
  results->m_claim_bytes = AddFit(
      results, "claims in memory, 200 B answers, over keys", "B", claim_bytes);
}

void MeasureConfig(BenchmarkResults* results) {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int services : {50, 100, 200, 400}) {
    ConfigPublish publish;
    publish.m_doc = MakeConfig(services).m_doc;
    const std::string payload = EncodeConfig(publish);
    bytes.push_back({double(services), double(payload.size())});
    micros.push_back({double(services), MinCpuMicros(50, [&payload] {
                        ConfigState state;
                        ApplyConfig(&state, 0, DecodeConfig(payload).value());
                      })});
  }
  results->m_config_bytes =
      AddFit(results, "publish over services with one job each", "B", bytes);
  results->m_config_micros =
      AddFit(results, "applying it over services", "us", micros);
  std::vector<Point> heartbeat_bytes;
  for (const int cells : {1, 2, 4, 8}) {
    MemberHeartbeat heartbeat;
    heartbeat.m_name = "sched-1";
    heartbeat.m_failure_domain = "montevideo";
    heartbeat.m_address = "10.0.0.1:7000";
    for (int i = 0; i < cells; ++i) {
      CellSummary summary;
      summary.m_cell = "montevideo." + std::to_string(i);
      summary.m_free = Resources{6400000, 25000000, 10};
      summary.m_largest_worker = Resources{64000, 250000, 4};
      summary.m_pending = 1000;
      heartbeat.m_cells.push_back(summary);
    }
    heartbeat_bytes.push_back(
        {double(cells), double(EncodeHeartbeat(heartbeat).size())});
  }
  results->m_heartbeat_bytes = AddFit(
      results, "scheduler's heartbeat over its cells", "B", heartbeat_bytes);
}

/// Value of the fitted line at \p x.
double Predict(const LinearFit& fit, double x) {
  return fit.m_intercept + fit.m_slope * x;
}

/// Prints a Markdown table row; \p derivation says how the value is computed.
void PrintRow(const std::string& what,
              double value,
              const std::string& unit,
              const std::string& derivation) {
  std::printf("| %s | %.4g %s | %s |\n", what.c_str(), value, unit.c_str(),
              derivation.c_str());
}

void PrintScheduler(const BenchmarkResults& results) {
  const double decisions = kStartsPerCell * kDecisionsPerTask;
  const double record_bytes = Predict(results.m_batch_bytes, decisions);
  const double read_bytes =
      record_bytes * kBase64Expansion + kRecordJsonBytes + kHttpHeaderBytes;
  const double memory_bytes =
      Predict(results.m_cell_bytes_by_tasks, kTasksPerCell) *
      kCellsPerScheduler;
  const double replay_micros = Predict(results.m_replay_micros, decisions);
  const double plan_micros =
      Predict(results.m_plan_micros_by_tasks, kTasksPerCell);
  std::puts(
      "\n### Scheduler\n\n| quantity | at the target | worked out as |\n"
      "| --- | --- | --- |");
  PrintRow("cells", kCells, "", "22,000 workers / 100");
  PrintRow("entry VMs that run a scheduler", kSchedulers, "",
           "6 owned cells each, 12 more watched");
  PrintRow("appends for cells", kCells, "/s",
           "one batch a second for each cell");
  PrintRow("log bytes written", record_bytes * kCells / 1024, "KB/s",
           "record of a second's decisions x cells");
  PrintRow("replay of the whole fleet on one core",
           100 * kCells * replay_micros * 1e-6, "%",
           "replay time of a second x cells");
  PrintRow("memory of owned cells", memory_bytes / 1048576, "MB",
           "owner's memory at 2,523 tasks x 6");
  PrintRow("memory of watched cells", 2 * memory_bytes / 1048576, "MB",
           "the same for 12 watched cells (upper bound)");
  PrintRow("replay per VM",
           100 * kReplicasPerCell * kCellsPerScheduler * replay_micros * 1e-6,
           "% of a core", "18 streams followed");
  PrintRow("planning per VM", 100 * kCellsPerScheduler * plan_micros * 1e-6,
           "% of a core", "one pass a second for each owned cell");
  PrintRow("renewals per VM",
           100 * kCellsPerScheduler * kWorkersPerCell *
               Predict(results.m_sync_micros, kTasksPerWorker) * 1e-6 / 5,
           "% of a core", "600 workers, one renewal in 5 s, codec only");
  PrintRow("log bytes read per VM",
           kReplicasPerCell * kCellsPerScheduler * read_bytes / 1024, "KB/s",
           "18 streams, base64 in JSON, headers");
  PrintRow("heartbeats read per VM",
           kSchedulers / 5 *
               (Predict(results.m_heartbeat_bytes, kCellsPerScheduler) *
                    kBase64Expansion +
                kRecordJsonBytes) /
               1024,
           "KB/s", "all schedulers, one heartbeat in 5 s");
  PrintRow(
      "renewal bytes per VM",
      kCellsPerScheduler * kWorkersPerCell *
          (Predict(results.m_sync_bytes, kTasksPerWorker) + kHttpHeaderBytes) /
          5 / 1024,
      "KB/s", "600 workers, one renewal in 5 s");
  PrintRow("snapshot of a cell",
           Predict(results.m_snapshot_bytes, kTasksPerCell) / 1024, "KB",
           "at 2,523 tasks");
  PrintRow("restarts",
           7000.0 / 86400 * Predict(results.m_snapshot_bytes, kTasksPerCell) *
               kReplicasPerCell * kCellsPerScheduler / 1024,
           "KB/s over the fleet",
           "were all 7,000 a day ours, each reading 18 snapshots");
}

void PrintWorkerAndGate(const BenchmarkResults& results) {
  std::puts(
      "\n### Control share on a worker\n\n| quantity | at the target | "
      "worked out as |\n| --- | --- | --- |");
  const double renewal_bytes =
      Predict(results.m_sync_bytes, kTasksPerWorker) + kHttpHeaderBytes;
  PrintRow("tasks on a worker", kTasksPerWorker, "", "555,000 / 22,000");
  PrintRow("renewal, both ways", renewal_bytes, "B", "JSON form with headers");
  PrintRow("bytes at one renewal a second", renewal_bytes / 1024, "KB/s",
           "today's setting");
  PrintRow("bytes at one renewal in 5 s", renewal_bytes / 5 / 1024, "KB/s",
           "worker_renew_ms = 5000, worker_lease_ms = 30000");
  std::puts(
      "\n### Gate\n\n| quantity | at the target | worked out as |\n"
      "| --- | --- | --- |");
  PrintRow("one request at 50 endpoints", Predict(results.m_route_micros, 50),
           "us of a core", "decision only, without HTTP");
  PrintRow("gate report at 50 busy endpoints",
           Predict(results.m_report_bytes, 50), "B",
           "one neighbourhood of a service");
  PrintRow("bytes to 8 peers at 20 reports a second",
           Predict(results.m_report_bytes, 50) * 8 * 20 / 1024, "KB/s",
           "today's setting");
  PrintRow("bytes to 8 peers at 2 reports a second",
           Predict(results.m_report_bytes, 50) * 8 * 2 / 1024, "KB/s",
           "report_period_ms = 500");
  PrintRow("claims in memory", Predict(results.m_claim_bytes, 40000) / 1048576,
           "MB", "40,000 keys remembered, 200 B answers");
}

void PrintConfig(const BenchmarkResults& results) {
  std::puts(
      "\n### Configuration\n\n| quantity | at the target | worked out "
      "as |\n| --- | --- | --- |");
  const double publish_bytes = Predict(results.m_config_bytes, 1000);
  PrintRow("changes", kConfigChangesPerSecond, "/s", "11,000 a day");
  PrintRow("a whole publish", publish_bytes / 1024, "KB",
           "1,000 services with a job each");
  PrintRow("configuration bytes read per VM",
           kConfigChangesPerSecond * publish_bytes * kBase64Expansion / 1024,
           "KB/s", "every change carries the whole document");
  PrintRow("applying it", Predict(results.m_config_micros, 1000) / 1000,
           "ms of a core", "at 1,000 services");
  PrintRow("processor for configuration per VM",
           100 * kConfigChangesPerSecond *
               Predict(results.m_config_micros, 1000) * 1e-6,
           "% of a core", "");
  PrintRow("tenants", kTenants, "",
           "quota shares, one for each tenant and cell");
}

int Main() {
  SetLogLevel("critical");
  BenchmarkResults results;
  MeasureReplay(&results);
  MeasureCell(&results);
  MeasureSync(&results);
  MeasureGate(&results);
  MeasureConfig(&results);
  std::puts(
      "### Slopes\n\n| what | points | slope | intercept | residual |\n"
      "| --- | --- | --- | --- | --- |");
  std::cout << results.m_slope_rows << std::flush;
  PrintScheduler(results);
  PrintWorkerAndGate(results);
  PrintConfig(results);
  return 0;
}

}  // namespace
}  // namespace hyssopspar::bench

int main() {
  return hyssopspar::bench::Main();
}
