#include "hyssopspar/jobs/long_running_growth.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hyssopspar::jobs {
namespace {

Submission ShortJob(std::int64_t unix_ms,
                    std::uint32_t tasks,
                    std::int64_t cpu_milli) {
  Submission job;
  job.m_accepted_unix_ms = unix_ms;
  job.m_queue.m_name = "quotes";
  job.m_queue.m_service = "pool";
  StepPlan step;
  step.m_tasks = tasks;
  step.m_size = {cpu_milli, 1000, 0};
  job.m_plan.m_steps.push_back(step);
  return job;
}

QueuePolicy LongRunningQueue() {
  QueuePolicy queue;
  queue.m_name = "services";
  queue.m_service = "pool";
  return queue;
}

RunTimeEstimates RunTimes(milliseconds run_time) {
  RunTimeEstimates run_times;
  run_times.Add("quotes", run_time);
  return run_times;
}

constexpr std::int64_t kPoolCpuMilli = 1000000;

TEST(LongRunningGrowthTest, NoHeadroomWithoutShortJobs) {
  const Headroom headroom =
      HeadroomFor(ShortJobDemand(), RunTimeEstimates(), LongRunningQueue(),
                  kPoolCpuMilli, 1000);
  EXPECT_EQ(headroom.m_cpu_milli, 0);
}

TEST(LongRunningGrowthTest, HeadroomFollowsTheHighestRecentDemand) {
  ShortJobDemand demand;
  const auto headroom_at = [&demand](std::int64_t unix_now) {
    return HeadroomFor(demand, RunTimes(milliseconds(500)), LongRunningQueue(),
                       kPoolCpuMilli, unix_now);
  };
  RecordArrival(&demand, ShortJob(100000, 10, 2000), {});
  const std::int64_t calm = headroom_at(101000).m_cpu_milli;
  EXPECT_GT(calm, 0);
  RecordArrival(&demand, ShortJob(105000, 40, 2000), {});
  EXPECT_EQ(headroom_at(106000).m_cpu_milli, 4 * calm);
  EXPECT_EQ(headroom_at(106000).m_task_cpu_milli, 2000);
  RecordArrival(&demand, ShortJob(140000, 10, 2000), {});
  EXPECT_EQ(headroom_at(141000).m_cpu_milli, calm);
  // Without arrivals the head-room ends.
  EXPECT_EQ(headroom_at(165000).m_cpu_milli, 0);
}

TEST(LongRunningGrowthTest, IgnoresJobsThatDoNotCompete) {
  ShortJobDemand demand;
  Submission other_pool = ShortJob(1000, 10, 2000);
  other_pool.m_queue.m_name = "elsewhere";
  other_pool.m_queue.m_service = "other";
  Submission less_urgent = ShortJob(1000, 10, 2000);
  less_urgent.m_queue.m_name = "batch";
  less_urgent.m_queue.m_priority = 2;
  Submission best_effort = ShortJob(1000, 10, 2000);
  best_effort.m_plan.m_steps[0].m_is_best_effort = true;
  Submission long_running = ShortJob(1000, 10, 2000);
  long_running.m_plan.m_steps[0].m_long_running = true;
  for (const Submission& job :
       {other_pool, less_urgent, best_effort, long_running}) {
    RecordArrival(&demand, job, {});
  }
  EXPECT_EQ(HeadroomFor(demand, RunTimeEstimates(), LongRunningQueue(),
                        kPoolCpuMilli, 1000)
                .m_cpu_milli,
            0);
}

TEST(LongRunningGrowthTest, HeadroomIsBounded) {
  ShortJobDemand demand;
  RecordArrival(&demand, ShortJob(1000, 10000, 64000), {});
  EXPECT_LE(HeadroomFor(demand, RunTimeEstimates(), LongRunningQueue(),
                        kPoolCpuMilli, 1000)
                .m_cpu_milli,
            kPoolCpuMilli / 2);
}

Worker ListedWorker(std::int64_t cpu_milli, std::int64_t used_cpu_milli) {
  Worker worker;
  worker.m_listed = true;
  worker.m_entry.m_service = "pool";
  worker.m_entry.m_capacity = {cpu_milli, 256000, 0};
  worker.m_used.m_cpu_milli = used_cpu_milli;
  return worker;
}

// A job that fits no worker, by a mistaken unit, made the head-room so large
// that all first runs of long-running tasks waited.
TEST(LongRunningGrowthTest, IgnoresTasksThatFitNoWorker) {
  const std::vector<Worker> workers(8, ListedWorker(64000, 0));
  ShortJobDemand demand;
  RecordArrival(&demand, ShortJob(1000, 6, 4200000), workers);
  Submission too_much_memory = ShortJob(1000, 6, 4200);
  too_much_memory.m_plan.m_steps[0].m_size.m_memory_mib = 8400000;
  RecordArrival(&demand, too_much_memory, workers);
  Submission without_label = ShortJob(1000, 6, 4200);
  without_label.m_plan.m_steps[0].m_label = "none";
  RecordArrival(&demand, without_label, workers);
  EXPECT_EQ(HeadroomFor(demand, RunTimeEstimates(), LongRunningQueue(),
                        kPoolCpuMilli, 1000)
                .m_cpu_milli,
            0);
  RecordArrival(&demand, ShortJob(1000, 6, 4200), workers);
  EXPECT_EQ(HeadroomFor(demand, RunTimeEstimates(), LongRunningQueue(),
                        kPoolCpuMilli, 1000)
                .m_task_cpu_milli,
            4200);
}

// Short tasks larger than the free part of each worker held back all first runs
// of long-running tasks, though half of the pool was free.
TEST(LongRunningGrowthTest, LargeShortTasksHoldBackNoMoreThanTheHeadroom) {
  Headroom headroom;
  headroom.m_cpu_milli = 153600;
  headroom.m_task_cpu_milli = 40000;
  PoolCpu pool;
  for (int i = 0; i < 8; ++i) {
    AddWorkerCpu(ListedWorker(64000, 32000), headroom, &pool);
  }
  EXPECT_EQ(GrowthBudget(pool, headroom), 256000 - headroom.m_cpu_milli);
}

/// A pool of workers to which long-running tasks come and stay, beside short
/// tasks that arrive in waves.
class GrowthModel {
 public:
  explicit GrowthModel(bool keeps_headroom) : m_keeps_headroom(keeps_headroom) {
    m_workers.resize(kWorkers);
    for (Worker& worker : m_workers) {
      worker.m_entry.m_capacity = {64000, 256000, 0};
    }
  }

  /// Share of the short tasks that start within half a second.
  double Run() {
    for (std::int64_t tick = 0; tick < kTicks; ++tick) {
      EndShortTasks(tick);
      for (std::int64_t i = 0; i < ShortArrivals(tick); ++i) {
        m_waiting_short.push_back(tick);
        RecordArrival(&m_demand, ShortJob(tick * kTickMs, 1, kShortCpu),
                      m_workers);
      }
      m_waiting_long += tick % 2;
      PlaceShortTasks(tick);
      PlaceLongTasks(tick);
    }
    return static_cast<double>(m_in_time) /
           static_cast<double>(
               m_in_time + m_late +
               static_cast<std::int64_t>(m_waiting_short.size()));
  }

  std::int64_t LongRunningTasks() const { return m_long; }

 private:
  static constexpr std::size_t kWorkers = 20;
  static constexpr std::int64_t kTicks = 400;
  static constexpr std::int64_t kTickMs = 100;
  static constexpr std::int64_t kShortCpu = 12000;
  static constexpr std::int64_t kLongCpu = 16000;
  static constexpr std::int64_t kShortTicks = 8;
  static constexpr std::int64_t kTimelyTicks = 5;

  std::int64_t ShortArrivals(std::int64_t tick) {
    const bool burst = tick % 100 >= 60;
    return static_cast<std::int64_t>(m_random() % 2) + (burst ? 1 : 0);
  }

  bool Place(std::int64_t cpu, std::size_t* placed_on) {
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      Worker& worker = m_workers[i];
      if (worker.m_used.m_cpu_milli + cpu <=
          worker.m_entry.m_capacity.m_cpu_milli) {
        worker.m_used.m_cpu_milli += cpu;
        *placed_on = i;
        return true;
      }
    }
    return false;
  }

  void EndShortTasks(std::int64_t tick) {
    while (!m_running_short.empty() && m_running_short.front().first <= tick) {
      m_workers[m_running_short.front().second].m_used.m_cpu_milli -= kShortCpu;
      m_running_short.pop_front();
    }
  }

  void PlaceShortTasks(std::int64_t tick) {
    std::size_t worker = 0;
    while (!m_waiting_short.empty() && Place(kShortCpu, &worker)) {
      const bool timely = tick - m_waiting_short.front() <= kTimelyTicks;
      m_in_time += timely ? 1 : 0;
      m_late += timely ? 0 : 1;
      m_waiting_short.pop_front();
      m_running_short.emplace_back(tick + kShortTicks, worker);
    }
  }

  void PlaceLongTasks(std::int64_t tick) {
    const Headroom headroom =
        HeadroomFor(m_demand, RunTimes(milliseconds(kShortTicks * kTickMs)),
                    LongRunningQueue(), kWorkers * 64000, tick * kTickMs);
    PoolCpu cpu;
    for (const Worker& worker : m_workers) {
      AddWorkerCpu(worker, headroom, &cpu);
    }
    std::int64_t budget = GrowthBudget(cpu, headroom);
    std::size_t worker = 0;
    while (m_waiting_long > 0 && (!m_keeps_headroom || budget >= kLongCpu) &&
           Place(kLongCpu, &worker)) {
      budget -= kLongCpu;
      --m_waiting_long;
      ++m_long;
    }
  }

  bool m_keeps_headroom;
  std::mt19937_64 m_random{7};
  std::vector<Worker> m_workers;
  ShortJobDemand m_demand;
  std::deque<std::int64_t> m_waiting_short;  ///< Ticks of arrival.
  /// Tick of the end, and worker.
  std::deque<std::pair<std::int64_t, std::size_t>> m_running_short;
  std::int64_t m_waiting_long = 0;
  std::int64_t m_long = 0;
  std::int64_t m_in_time = 0;
  std::int64_t m_late = 0;
};

// Compared with placing every task that fits, the head-room keeps short tasks
// timely and costs few long-running tasks.
TEST(LongRunningGrowthTest, KeepsShortTasksTimelyWhileLongRunningOnesPileUp) {
  GrowthModel plain(false);
  GrowthModel with_headroom(true);
  const double plain_share = plain.Run();
  const double share = with_headroom.Run();
  EXPECT_LT(plain_share, 0.6);
  EXPECT_GT(share, 0.95);
  EXPECT_GT(with_headroom.LongRunningTasks(), plain.LongRunningTasks() * 3 / 4);
}

}  // namespace
}  // namespace hyssopspar::jobs
