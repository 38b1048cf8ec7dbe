// Measures the processor time and the operations that a cell's owner spends on
// a start, for fleets of several sizes under the same load per worker.

#include <cstdio>

#include "hyssopspar/cpu_time.h"
#include "hyssopspar/logging.h"
#include "job_state/fleet_load.h"

namespace {

using namespace hyssopspar;

/// Short jobs ask for more CPU than the long-running tasks leave.
constexpr double kOverloadFactor = 6;
constexpr double kLargeJobsPerWorker = 10.0 / 540;

void Measure(const jobs::FleetLoadOptions& options, const char* label) {
  jobs::FleetLoad load(options);
  Duration decide{0};
  const Duration before = ThreadCpuTime();
  load.Run([&decide](const std::function<void()>& round) {
    const Duration start = ThreadCpuTime();
    round();
    decide += ThreadCpuTime() - start;
  });
  const Duration total = ThreadCpuTime() - before;
  const jobs::CellWork& work = load.TheCell().Work();
  const double starts = static_cast<double>(work.m_starts);
  std::printf(
      "workers %5d  %s  starts %6.0f  rounds %6zu  passes %4llu "
      " per start: "
      "%7.1f us decisions, %7.1f us with events, %8.0f worker visits\n",
      options.m_workers, label, starts, load.Rounds(),
      static_cast<unsigned long long>(work.m_passes),
      static_cast<double>(ToMicros(decide)) / starts,
      static_cast<double>(ToMicros(total)) / starts,
      static_cast<double>(work.m_worker_visits) / starts);
  const jobs::ReservationState& state = load.TheCell().Reservations();
  std::printf(
      "   reservations granted %llu used %llu expired %llu uneconomic %llu  "
      "idle %.0f core-ms\n",
      static_cast<unsigned long long>(state.m_counts.m_granted),
      static_cast<unsigned long long>(state.m_counts.m_used),
      static_cast<unsigned long long>(state.m_counts.m_expired),
      static_cast<unsigned long long>(state.m_counts.m_uneconomic),
      state.m_idle_core_ms);
  for (const auto& queue : load.Stages()) {
    std::printf(
        "   %-13s starts %6zu", queue.first.c_str(),
        queue.second[static_cast<std::size_t>(jobs::Stage::kPlace)].m_count);
    for (std::size_t i = 0; i < jobs::kStageCount; ++i) {
      const jobs::StageTime& time = queue.second[i];
      std::printf(
          " %s %lld ms (%lld)", jobs::ToString(static_cast<jobs::Stage>(i)),
          static_cast<long long>(
              time.m_count == 0 ? 0 : ToMillis(time.m_total / time.m_count)),
          static_cast<long long>(ToMillis(time.m_longest)));
    }
    std::printf("\n");
  }
}

/// Steady load, with arrivals of best-effort jobs as usual and fourfold.
void MeasureSteadyLoad(int workers) {
  jobs::FleetLoadOptions options;
  options.m_workers = workers;
  Measure(options, "best-effort x1");
  options.m_best_effort_jobs_per_worker *= 4;
  Measure(options, "best-effort x4");
}

/// More short tasks than the workers carry, beside large ones that wait.
void MeasureFragmentation(int workers) {
  jobs::FleetLoadOptions options;
  options.m_workers = workers;
  options.m_short_jobs_per_worker *= kOverloadFactor;
  options.m_large_jobs_per_worker = kLargeJobsPerWorker;
  Measure(options, "large tasks, look-ahead off");
  options.m_look_ahead = true;
  Measure(options, "large tasks, look-ahead on ");
}

}  // namespace

int main(int argc, char** argv) {
  SetLogLevel(argc > 1 ? argv[1] : "off");
  for (const int workers : {60, 180, 540, 1620}) {
    MeasureSteadyLoad(workers);
  }
  for (const int workers : {350, 1000, 3000}) {
    MeasureFragmentation(workers);
  }
  return 0;
}
