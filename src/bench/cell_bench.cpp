// Measures the processor time and the operations that a cell's owner spends on
// a start, for fleets of several sizes under the same load per worker.

#include <cstdio>

#include "hyssopspar/cpu_time.h"
#include "hyssopspar/logging.h"
#include "job_state/fleet_load.h"

namespace {

using namespace hyssopspar;

/// \p best_effort_factor multiplies the arrivals of best-effort jobs.
void Measure(int workers, double best_effort_factor) {
  jobs::FleetLoadOptions options;
  options.m_workers = workers;
  options.m_best_effort_jobs_per_worker *= best_effort_factor;
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
      "workers %5d  best-effort x%.0f  starts %6.0f  rounds %6zu  passes %4llu "
      " per start: "
      "%7.1f us decisions, %7.1f us with events, %8.0f worker visits\n",
      workers, best_effort_factor, starts, load.Rounds(),
      static_cast<unsigned long long>(work.m_passes),
      static_cast<double>(ToMicros(decide)) / starts,
      static_cast<double>(ToMicros(total)) / starts,
      static_cast<double>(work.m_worker_visits) / starts);
  for (const auto& queue : load.Stages()) {
    std::printf("   %-13s", queue.first.c_str());
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

}  // namespace

int main(int argc, char** argv) {
  SetLogLevel(argc > 1 ? argv[1] : "off");
  for (const int workers : {60, 180, 540, 1620}) {
    Measure(workers, 1);
    Measure(workers, 4);
  }
  return 0;
}
