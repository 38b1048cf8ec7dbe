// Measures how cost grows with size, and works out each role's cost at the
// target size. Prints the tables of docs/CAPACITY.md.

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

// The target size.
constexpr double kWorkers = 22000;
constexpr double kTasks = 555000;
constexpr double kStartsPerSecond = 5700;
constexpr double kWorkersPerCell = 100;
constexpr double kCells = kWorkers / kWorkersPerCell;
constexpr double kTasksPerCell = kTasks / kCells;
constexpr double kTasksPerWorker = kTasks / kWorkers;
constexpr double kStartsPerCell = kStartsPerSecond / kCells;
constexpr double kChangesPerSecond = 11000.0 / 86400.0;
constexpr double kTenants = 110;
// Decisions for each task: its commit and its finish.
constexpr double kDecisionsPerTask = 2;
// Form of a record on the way from the log: base64 and its JSON frame.
constexpr double kRecordGrowth = 4.0 / 3.0;
constexpr double kRecordFrameBytes = 40;
// Request and answer headers of one HTTP exchange.
constexpr double kHttpBytes = 330;
constexpr double kWatchers = 3;
constexpr double kCellsPerScheduler = 6;
constexpr double kSchedulers = kCells / kCellsPerScheduler;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

/// Processor time of one call of \p work, in microseconds; the least of three
/// rounds.
double MicrosOf(int calls, const std::function<void()>& work) {
  double best = 1e30;
  for (int round = 0; round < 3; ++round) {
    const double before = CpuSeconds();
    for (int i = 0; i < calls; ++i) {
      work();
    }
    best = std::min(best, (CpuSeconds() - before) / calls * 1e6);
  }
  return best;
}

/// A cell in which \p tasks tasks run on \p workers workers.
class SampleCell {
 public:
  SampleCell(int workers, int tasks) {
    m_settings.m_name = "s";
    m_config.m_revision = 1;
    m_config.m_doc.m_failure_domains = {FailureDomainConfig{"d", 1}};
    Write(Batch{1, 1, 0, {OwnerClaim{"s", 0, 0}}});
    Batch table{1, 2, 1, {}};
    for (int w = 0; w < workers; ++w) {
      const std::string name = "worker-" + std::to_string(w);
      table.m_decisions.emplace_back(
          WorkerAdd{name, "d", "rack", Resources{64000, 256000, 0}});
      Vm vm;
      vm.m_name = name;
      vm.m_failure_domain = "d";
      vm.m_address = "10.0.0.1:7000";
      vm.m_capacity = Resources{64000, 256000, 0};
      m_vms[name] = vm;
    }
    Write(table);
    Admit(tasks);
    Batch commits{1, 3, 1, {}};
    for (int t = 0; t < tasks; ++t) {
      commits.m_decisions.emplace_back(TaskCommit{
          TaskId{kJob, static_cast<std::uint32_t>(t)}, 1,
          static_cast<WorkerIndex>(t % workers), Resources{100, 100, 0}});
    }
    Write(commits);
  }

  void Admit(int tasks) {
    JobSpec spec;
    spec.m_id = kJob;
    spec.m_tenant = "tenant";
    spec.m_name = "job";
    spec.m_class = "class";
    spec.m_tasks = static_cast<std::uint32_t>(tasks);
    spec.m_size = Resources{100, 100, 0};
    Write(Batch{0, 0, 0, {JobAdmit{spec}}});
  }

  void Write(const Batch& batch) {
    LogSlice slice;
    slice.m_records = {LogRecord{m_next++, EncodeBatch(batch)}};
    slice.m_end = m_next;
    const CellContext context = Context();
    HandleCellRead(&m_owner, context, slice, m_now, m_now);
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

  /// Owner with leases in order and every worker heard.
  CellReplica* Owner() {
    m_owner.m_owned = true;
    m_owner.m_lease_deadline = m_now + std::chrono::hours(1);
    m_owner.m_outage_deadline = m_now + std::chrono::hours(1);
    const CellState& state = m_owner.m_replay.State();
    for (const WorkerSlot& slot : state.m_workers) {
      WorkerReport report;
      report.m_boot_id = 1;
      report.m_now = WorkerTime(milliseconds(1));
      for (const TaskId& id : slot.m_live) {
        report.m_tasks.push_back(
            TaskReport{AttemptId{id, 1}, TaskPhase::kRunning, 500});
        m_owner.m_own_commits.insert(AttemptId{id, 1});
      }
      ApplyWorkerReport(&m_owner.m_workers[slot.m_name], report, m_now);
    }
    return &m_owner;
  }

  const CellState& State() const { return m_owner.m_replay.State(); }
  TimePoint Now() const { return m_now; }

  static constexpr JobId kJob = 0x123456789abcdef0;

 private:
  SchedSettings m_settings;
  ConfigState m_config;
  std::map<std::string, Vm> m_vms;
  Membership m_membership;
  CellReplica m_owner;
  Offset m_next = 0;
  TimePoint m_now{std::chrono::hours(1)};
};

struct Measured {
  std::string m_rows;
  Line m_batch_bytes;
  Line m_replay_micros;
  Line m_cell_bytes_tasks;
  Line m_cell_bytes_workers;
  Line m_plan_micros;
  Line m_plan_micros_workers;
  Line m_snapshot_bytes;
  Line m_sync_bytes;
  Line m_sync_micros;
  Line m_route_micros;
  Line m_report_bytes;
  Line m_claim_bytes;
  Line m_config_bytes;
  Line m_config_micros;
  Line m_beat_bytes;
};

Line Add(Measured* measured,
         const std::string& name,
         const std::string& unit,
         const std::vector<Point>& points) {
  const Line line = FitLine(points);
  measured->m_rows += RenderRow(name, unit, points, line);
  return line;
}

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

void MeasureReplay(Measured* measured) {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int decisions : {50, 100, 200, 400}) {
    const std::string payload = EncodeBatch(CommitBatch(decisions));
    bytes.push_back({double(decisions), double(payload.size())});
    CellState base;
    Apply(&base, 0, Batch{1, 1, 0, {OwnerClaim{"s", 0, 0}}});
    Batch table{1, 2, 1, {}};
    for (int w = 0; w < 100; ++w) {
      table.m_decisions.emplace_back(
          WorkerAdd{std::to_string(w), "d", "r", Resources{64000, 256000, 0}});
    }
    Apply(&base, 1, table);
    JobSpec spec;
    spec.m_id = SampleCell::kJob;
    spec.m_tasks = static_cast<std::uint32_t>(decisions / 2);
    Apply(&base, 2, Batch{0, 0, 0, {JobAdmit{spec}}});
    const double copy = MicrosOf(200, [&base] {
      CellState state = base;
      state.m_started = true;
    });
    const double both = MicrosOf(200, [&base, &payload] {
      CellState state = base;
      Batch batch = DecodeBatch(payload).value();
      batch.m_sequence = 3;
      Apply(&state, 3, batch);
    });
    micros.push_back({double(decisions), both - copy});
  }
  measured->m_batch_bytes =
      Add(measured, "record size over decisions", "B", bytes);
  measured->m_replay_micros =
      Add(measured, "replay time over decisions", "us", micros);
}

void MeasureCell(Measured* measured) {
  std::vector<Point> memory;
  std::vector<Point> snapshot;
  std::vector<Point> plan;
  for (const int tasks : {500, 1000, 2000, 4000}) {
    const double before = HeapBytes();
    SampleCell cell(100, tasks);
    CellReplica* owner = cell.Owner();
    memory.push_back({double(tasks), HeapBytes() - before});
    snapshot.push_back(
        {double(tasks), double(EncodeCellState(cell.State()).size())});
    const CellContext context = cell.Context();
    plan.push_back({double(tasks), MicrosOf(20, [&cell, owner, &context] {
                      PlanCell(owner, context, cell.Now());
                    })});
  }
  measured->m_cell_bytes_tasks =
      Add(measured, "owner's memory over tasks", "B", memory);
  measured->m_snapshot_bytes =
      Add(measured, "snapshot size over tasks", "B", snapshot);
  measured->m_plan_micros = Add(measured, "planning over tasks", "us", plan);
  std::vector<Point> by_worker;
  std::vector<Point> plan_by_worker;
  for (const int workers : {25, 50, 100, 200}) {
    const double before = HeapBytes();
    SampleCell cell(workers, 500);
    CellReplica* owner = cell.Owner();
    by_worker.push_back({double(workers), HeapBytes() - before});
    const CellContext context = cell.Context();
    plan_by_worker.push_back(
        {double(workers), MicrosOf(20, [&cell, owner, &context] {
           PlanCell(owner, context, cell.Now());
         })});
  }
  measured->m_cell_bytes_workers =
      Add(measured, "owner's memory over workers", "B", by_worker);
  measured->m_plan_micros_workers =
      Add(measured, "planning over workers", "us", plan_by_worker);
}

void MeasureSync(Measured* measured) {
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
    micros.push_back({double(tasks), MicrosOf(200, [&answer, &sync] {
                        EncodeSync(sync);
                        DecodeReport(answer).value();
                      })});
  }
  measured->m_sync_bytes =
      Add(measured, "renewal, both ways, over a worker's tasks", "B", bytes);
  measured->m_sync_micros = Add(
      measured, "renewal at the scheduler over a worker's tasks", "us", micros);
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

void MeasureGate(Measured* measured) {
  std::vector<Point> route;
  std::vector<Point> report;
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
    RequestId next = 1;
    route.push_back({double(endpoints), MicrosOf(2000, [&gate, &next, &now] {
                       GateRequest request;
                       request.m_id = next++;
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
    PeerReport peers;
    peers.m_name = "gate-1";
    for (int i = 0; i < endpoints; ++i) {
      peers.m_in_flight_counts.push_back(
          EndpointInFlight{Hash(std::to_string(i)), 3});
    }
    report.push_back(
        {double(endpoints), double(EncodePeerReport(peers).size())});
  }
  measured->m_route_micros =
      Add(measured, "one request at a gate over endpoints", "us", route);
  measured->m_report_bytes =
      Add(measured, "gate report over busy endpoints", "B", report);
  std::vector<Point> claims;
  for (const int keys : {2000, 4000, 8000}) {
    const double before = HeapBytes();
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
    claims.push_back({double(keys), HeapBytes() - before});
  }
  measured->m_claim_bytes =
      Add(measured, "claims in memory, 200 B answers, over keys", "B", claims);
}

void MeasureConfig(Measured* measured) {
  std::vector<Point> bytes;
  std::vector<Point> micros;
  for (const int services : {50, 100, 200, 400}) {
    ConfigPublish publish;
    publish.m_doc = MakeConfig(services).m_doc;
    const std::string payload = EncodeConfig(publish);
    bytes.push_back({double(services), double(payload.size())});
    micros.push_back({double(services), MicrosOf(50, [&payload] {
                        ConfigState state;
                        ApplyConfig(&state, 0, DecodeConfig(payload).value());
                      })});
  }
  measured->m_config_bytes =
      Add(measured, "publish over services with one job each", "B", bytes);
  measured->m_config_micros =
      Add(measured, "applying it over services", "us", micros);
  std::vector<Point> beats;
  for (const int cells : {1, 2, 4, 8}) {
    MemberHeartbeat beat;
    beat.m_name = "sched-1";
    beat.m_failure_domain = "montevideo";
    beat.m_address = "10.0.0.1:7000";
    for (int i = 0; i < cells; ++i) {
      CellSummary summary;
      summary.m_cell = "montevideo." + std::to_string(i);
      summary.m_free = Resources{6400000, 25000000, 10};
      summary.m_largest_worker = Resources{64000, 250000, 4};
      summary.m_pending = 1000;
      beat.m_cells.push_back(summary);
    }
    beats.push_back({double(cells), double(EncodeHeartbeat(beat).size())});
  }
  measured->m_beat_bytes =
      Add(measured, "scheduler's heartbeat over its cells", "B", beats);
}

double At(const Line& line, double x) {
  return line.m_intercept + line.m_slope * x;
}

void Row(const std::string& what,
         double value,
         const std::string& unit,
         const std::string& how) {
  std::printf("| %s | %.4g %s | %s |\n", what.c_str(), value, unit.c_str(),
              how.c_str());
}

void PrintScheduler(const Measured& m) {
  const double decisions = kStartsPerCell * kDecisionsPerTask;
  const double record = At(m.m_batch_bytes, decisions);
  const double read = record * kRecordGrowth + kRecordFrameBytes + kHttpBytes;
  const double memory =
      At(m.m_cell_bytes_tasks, kTasksPerCell) * kCellsPerScheduler;
  const double replay = At(m.m_replay_micros, decisions);
  const double plan = At(m.m_plan_micros, kTasksPerCell);
  std::puts(
      "\n### Scheduler\n\n| quantity | at the target | worked out as |\n"
      "| --- | --- | --- |");
  Row("cells", kCells, "", "22,000 workers / 100");
  Row("entry VMs that run a scheduler", kSchedulers, "",
      "6 owned cells each, 12 more watched");
  Row("appends for cells", kCells, "/s", "one batch a second for each cell");
  Row("log bytes written", record * kCells / 1024, "KB/s",
      "record of a second's decisions x cells");
  Row("replay of the whole fleet on one core", 100 * kCells * replay * 1e-6,
      "%", "replay time of a second x cells");
  Row("memory of owned cells", memory / 1048576, "MB",
      "owner's memory at 2,523 tasks x 6");
  Row("memory of watched cells", 2 * memory / 1048576, "MB",
      "the same for 12 watched cells (upper bound)");
  Row("replay per VM", 100 * kWatchers * kCellsPerScheduler * replay * 1e-6,
      "% of a core", "18 streams followed");
  Row("planning per VM", 100 * kCellsPerScheduler * plan * 1e-6, "% of a core",
      "one pass a second for each owned cell");
  Row("renewals per VM",
      100 * kCellsPerScheduler * kWorkersPerCell *
          At(m.m_sync_micros, kTasksPerWorker) * 1e-6 / 5,
      "% of a core", "600 workers, one renewal in 5 s, codec only");
  Row("log bytes read per VM", kWatchers * kCellsPerScheduler * read / 1024,
      "KB/s", "18 streams, base64 in JSON, headers");
  Row("heartbeats read per VM",
      kSchedulers / 5 *
          (At(m.m_beat_bytes, kCellsPerScheduler) * kRecordGrowth +
           kRecordFrameBytes) /
          1024,
      "KB/s", "all schedulers, one heartbeat in 5 s");
  Row("renewal bytes per VM",
      kCellsPerScheduler * kWorkersPerCell *
          (At(m.m_sync_bytes, kTasksPerWorker) + kHttpBytes) / 5 / 1024,
      "KB/s", "600 workers, one renewal in 5 s");
  Row("snapshot of a cell", At(m.m_snapshot_bytes, kTasksPerCell) / 1024, "KB",
      "at 2,523 tasks");
  Row("restarts",
      7000.0 / 86400 * At(m.m_snapshot_bytes, kTasksPerCell) * kWatchers *
          kCellsPerScheduler / 1024,
      "KB/s over the fleet",
      "were all 7,000 a day ours, each reading 18 snapshots");
}

void PrintWorkerAndGate(const Measured& m) {
  std::puts(
      "\n### Control share on a worker\n\n| quantity | at the target | "
      "worked out as |\n| --- | --- | --- |");
  const double renewal = At(m.m_sync_bytes, kTasksPerWorker) + kHttpBytes;
  Row("tasks on a worker", kTasksPerWorker, "", "555,000 / 22,000");
  Row("renewal, both ways", renewal, "B", "JSON form with headers");
  Row("bytes at one renewal a second", renewal / 1024, "KB/s",
      "today's setting");
  Row("bytes at one renewal in 5 s", renewal / 5 / 1024, "KB/s",
      "worker_renew_ms = 5000, worker_lease_ms = 30000");
  std::puts(
      "\n### Gate\n\n| quantity | at the target | worked out as |\n"
      "| --- | --- | --- |");
  Row("one request at 50 endpoints", At(m.m_route_micros, 50), "us of a core",
      "decision only, without HTTP");
  Row("gate report at 50 busy endpoints", At(m.m_report_bytes, 50), "B",
      "one neighbourhood of a service");
  Row("bytes to 8 peers at 20 reports a second",
      At(m.m_report_bytes, 50) * 8 * 20 / 1024, "KB/s", "today's setting");
  Row("bytes to 8 peers at 2 reports a second",
      At(m.m_report_bytes, 50) * 8 * 2 / 1024, "KB/s",
      "report_period_ms = 500");
  Row("claims in memory", At(m.m_claim_bytes, 40000) / 1048576, "MB",
      "40,000 keys remembered, 200 B answers");
}

void PrintConfig(const Measured& m) {
  std::puts(
      "\n### Configuration\n\n| quantity | at the target | worked out "
      "as |\n| --- | --- | --- |");
  const double whole = At(m.m_config_bytes, 1000);
  Row("changes", kChangesPerSecond, "/s", "11,000 a day");
  Row("a whole publish", whole / 1024, "KB", "1,000 services with a job each");
  Row("configuration bytes read per VM",
      kChangesPerSecond * whole * kRecordGrowth / 1024, "KB/s",
      "every change carries the whole document");
  Row("applying it", At(m.m_config_micros, 1000) / 1000, "ms of a core",
      "at 1,000 services");
  Row("processor for configuration per VM",
      100 * kChangesPerSecond * At(m.m_config_micros, 1000) * 1e-6,
      "% of a core", "");
  Row("tenants", kTenants, "", "quota shares, one for each tenant and cell");
}

int Main() {
  SetLogLevel("critical");
  Measured measured;
  MeasureReplay(&measured);
  MeasureCell(&measured);
  MeasureSync(&measured);
  MeasureGate(&measured);
  MeasureConfig(&measured);
  std::puts(
      "### Slopes\n\n| what | points | slope | intercept | residual |\n"
      "| --- | --- | --- | --- | --- |");
  std::cout << measured.m_rows << std::flush;
  PrintScheduler(measured);
  PrintWorkerAndGate(measured);
  PrintConfig(measured);
  return 0;
}

}  // namespace
}  // namespace hyssopspar::bench

int main() {
  return hyssopspar::bench::Main();
}
