// Random fleets under a burst of small tasks, with run times that are estimated
// wrongly and workers that are lost.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "hyssopspar/jobs/forecast/run_time_samples.h"
#include "hyssopspar/jobs/reservation/look_ahead.h"

namespace hyssopspar::jobs {
namespace {

constexpr milliseconds kPass{50};

/// A fleet on which small tasks are always waiting and placed first. Large
/// tasks, one by one or as a gang, are placed when they fit.
class BusyFleet {
 public:
  struct Options {
    std::uint64_t m_seed = 1;
    int m_workers = 4;
    std::int64_t m_small_cpu_milli = 2000;
    milliseconds m_mean_run_time{1000};
    double m_estimate_error = 1;  ///< Declared run time to the actual mean.
    std::uint32_t m_large_tasks = 1;
    bool m_gang = false;
    bool m_look_ahead = true;
  };

  explicit BusyFleet(const Options& options)
      : m_options(options),
        m_random(options.m_seed),
        m_workers(static_cast<std::size_t>(options.m_workers)) {}

  /// Runs until the large tasks are placed or \p limit has passed.
  void Run(milliseconds limit) {
    const TimePoint end = m_now + limit;
    while (m_now < end && m_large_placed < m_options.m_large_tasks) {
      m_now += kPass;
      EndTasks();
      if (m_options.m_look_ahead && m_now >= m_next_plan) {
        m_next_plan = m_now + kPlanInterval;
        PlanReservations(Forecasts(), m_now, &m_state);
      }
      PlaceSmallTasks();
      PlaceLargeTasks();
    }
  }

  void LoseWorker(std::size_t worker) { m_workers[worker] = {false, {}}; }
  /// Reservations and learned run times are lost with the owner.
  void ReplaceOwner() {
    m_state = {};
    m_samples = {};
  }

  bool IsDone() const { return m_large_placed == m_options.m_large_tasks; }
  const std::string& Decisions() const { return m_decisions; }
  const ReservationState& State() const { return m_state; }
  TimePoint Now() const { return m_now; }

 private:
  struct RunningTask {
    TimePoint m_since;
    TimePoint m_end;
    Resources m_size;
  };
  struct FleetWorker {
    bool m_present = true;
    std::vector<RunningTask> m_tasks;
  };

  static Resources Capacity() { return {16000, 64000, 0}; }
  static Resources FreeOn(const FleetWorker& worker) {
    Resources free = Capacity();
    for (const RunningTask& task : worker.m_tasks) {
      free -= task.m_size;
    }
    return free;
  }
  milliseconds Estimate() const {
    return std::chrono::duration_cast<milliseconds>(m_options.m_mean_run_time *
                                                    m_options.m_estimate_error);
  }

  void EndTasks() {
    for (FleetWorker& worker : m_workers) {
      for (std::size_t i = worker.m_tasks.size(); i-- > 0;) {
        if (worker.m_tasks[i].m_end <= m_now) {
          AddRunTime(&m_samples, m_now - worker.m_tasks[i].m_since);
          worker.m_tasks.erase(worker.m_tasks.begin() +
                               static_cast<std::ptrdiff_t>(i));
        }
      }
    }
  }

  std::vector<WorkerForecast> Forecasts() const {
    std::vector<WorkerForecast> forecasts;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (!m_workers[i].m_present) {
        continue;
      }
      WorkerForecast forecast;
      forecast.m_service = "pool";
      forecast.m_capacity.m_worker = static_cast<int>(i);
      forecast.m_capacity.m_capacity = Capacity();
      forecast.m_capacity.m_free = FreeOn(m_workers[i]);
      for (const RunningTask& task : m_workers[i].m_tasks) {
        forecast.m_capacity.m_releases.push_back(
            {m_now + RemainingRunTimeQuantile(m_samples, Estimate(),
                                              m_now - task.m_since,
                                              kReleaseQuantile),
             task.m_size});
      }
      SortReleases(&forecast.m_capacity);
      forecasts.push_back(forecast);
    }
    return forecasts;
  }

  void Place(std::size_t worker, const Resources& size) {
    const double factor =
        std::uniform_real_distribution<double>(0.5, 2)(m_random);
    m_workers[worker].m_tasks.push_back(
        {m_now,
         m_now + std::chrono::duration_cast<Duration>(
                     m_options.m_mean_run_time * factor),
         size});
    RC_ASSERT(IsNonNegative(FreeOn(m_workers[worker])));
    m_decisions += std::to_string(worker) + ",";
  }

  void PlaceSmallTasks() {
    const Resources size{m_options.m_small_cpu_milli, 1000, 0};
    const PlannedTask task{
        {0, 0, 0},
        size,
        m_now + RemainingRunTimeQuantile(m_samples, Estimate(), Duration(0),
                                         kBackfillQuantile)};
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      while (m_workers[i].m_present && Fits(size, FreeOn(m_workers[i])) &&
             JudgePlacement(m_state.m_holds, static_cast<int>(i), task) !=
                 HoldVerdict::kReserved) {
        SubtractPlaced(static_cast<int>(i), task, &m_state.m_holds);
        Place(i, size);
      }
    }
  }

  void PlaceLargeTasks() {
    const StepKey key{1, 0, 0};
    const Resources size{12000, 1000, 0};
    std::vector<int> fits;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (m_workers[i].m_present && Fits(size, FreeOn(m_workers[i]))) {
        fits.push_back(static_cast<int>(i));
      }
    }
    const std::uint32_t left = m_options.m_large_tasks - m_large_placed;
    fits.resize(std::min<std::size_t>(fits.size(), left));
    if (m_options.m_gang && fits.size() < left) {
      fits.clear();
    }
    for (const int worker : fits) {
      Place(static_cast<std::size_t>(worker), size);
    }
    m_large_placed += static_cast<std::uint32_t>(fits.size());
    const bool waits = m_large_placed < m_options.m_large_tasks;
    UseReservations(key, fits, waits, &m_state);
    if (waits) {
      WaitingStep& step = m_state.m_waiting[key];
      step.m_service = "pool";
      step.m_need = size;
      step.m_tasks = m_options.m_large_tasks - m_large_placed;
      step.m_gang = m_options.m_gang;
      step.m_since = m_ready_at;
      step.m_seen_at = m_now;
    }
  }

  Options m_options;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  const TimePoint m_ready_at = m_now;
  TimePoint m_next_plan;
  std::vector<FleetWorker> m_workers;
  RunTimeSamples m_samples;
  ReservationState m_state;
  std::uint32_t m_large_placed = 0;
  std::string m_decisions;
};

BusyFleet::Options RandomOptions() {
  BusyFleet::Options options;
  options.m_seed = *rc::gen::arbitrary<std::uint64_t>();
  options.m_workers = *rc::gen::inRange(4, 20);
  options.m_small_cpu_milli = *rc::gen::inRange(500, 4000);
  options.m_mean_run_time = milliseconds(*rc::gen::inRange(200, 3000));
  options.m_estimate_error = *rc::gen::element(0.5, 1.0, 2.0);
  options.m_gang = *rc::gen::arbitrary<bool>();
  options.m_large_tasks = static_cast<std::uint32_t>(*rc::gen::inRange(1, 3));
  return options;
}

/// Capacity is freed all the time: in a minute, at least ten times on each
/// worker.
constexpr milliseconds kLongWait{120000};

RC_GTEST_PROP(ReservationProperty, NoTaskStarvesUnderABurst, ()) {
  BusyFleet fleet(RandomOptions());
  fleet.Run(kLongWait);
  RC_ASSERT(fleet.IsDone());
}

// Reserved workers are lost and the owner is replaced, time and again.
RC_GTEST_PROP(ReservationProperty, NoTaskStarvesBesideLosses, ()) {
  BusyFleet fleet(RandomOptions());
  for (int i = 0; i < 2; ++i) {
    fleet.Run(milliseconds(*rc::gen::inRange(100, 3000)));
    if (!fleet.State().m_holds.empty()) {
      fleet.LoseWorker(
          static_cast<std::size_t>(fleet.State().m_holds.begin()->first));
    }
    fleet.Run(milliseconds(*rc::gen::inRange(100, 3000)));
    fleet.ReplaceOwner();
  }
  fleet.Run(kLongWait);
  RC_ASSERT(fleet.IsDone());
}

RC_GTEST_PROP(ReservationProperty, SameInputGivesSameDecisions, ()) {
  const BusyFleet::Options options = RandomOptions();
  BusyFleet first(options);
  BusyFleet second(options);
  first.Run(milliseconds(5000));
  second.Run(milliseconds(5000));
  RC_ASSERT(first.Decisions() == second.Decisions());
}

// What is kept idle for a task is at most its CPU times its wait, and the last
// interval between plans.
RC_GTEST_PROP(ReservationProperty, IdleCapacityIsBoundedByTheWait, ()) {
  const BusyFleet::Options options = RandomOptions();
  BusyFleet fleet(options);
  const TimePoint start = fleet.Now();
  fleet.Run(milliseconds(*rc::gen::inRange(500, 20000)));
  RC_ASSERT(
      fleet.State().m_idle_core_ms <=
      12.0 * options.m_large_tasks *
          static_cast<double>(ToMillis(fleet.Now() - start + kPlanInterval)));
}

// Guards against a look-ahead without effect: with the same fleet, the large
// task waits for ever without it.
TEST(ReservationBurstTest, LargeTaskStarvesWithoutLookAhead) {
  BusyFleet::Options options;
  options.m_look_ahead = false;
  BusyFleet without(options);
  without.Run(kLongWait);
  EXPECT_FALSE(without.IsDone());
  options.m_look_ahead = true;
  BusyFleet with(options);
  with.Run(kLongWait);
  EXPECT_TRUE(with.IsDone());
}

}  // namespace
}  // namespace hyssopspar::jobs
