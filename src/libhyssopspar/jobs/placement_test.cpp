#include "hyssopspar/jobs/placement.h"

#include <gtest/gtest.h>

#include <numeric>

#include "hyssopspar/jobs/placement_candidates.h"
#include "hyssopspar/jobs/task.h"

namespace hyssopspar::jobs {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

class JobPlacementTest : public testing::Test {
 protected:
  JobPlacementTest() {
    m_query.m_step = &m_step;
    m_query.m_service = &m_service;
    m_query.m_excluded_domains = &m_excluded_domains;
    m_query.m_step_tasks_by_worker = &m_step_tasks_by_worker;
    m_query.m_predict_tail_effect = [this](std::size_t i) {
      return TailEffect{m_predicted_ratio[i], m_predicted_log_increase[i]};
    };
    m_query.m_image_dissimilarity = [this](std::size_t i) {
      return m_image_dissimilarity[i];
    };
    m_query.m_now = kNow;
    m_step.m_size = {4000, 1000, 0};
  }

  Worker& AddWorker() {
    Worker worker;
    worker.m_listed = true;
    worker.m_epoch_acknowledged = true;
    worker.m_reachable = true;
    worker.m_entry.m_service = "pool";
    worker.m_entry.m_failure_domain = "east";
    worker.m_entry.m_rack = "r" + std::to_string(m_workers.size());
    worker.m_entry.m_capacity = {16000, 32000, 0};
    m_workers.push_back(worker);
    m_step_tasks_by_worker.push_back(0);
    m_predicted_ratio.push_back(0);
    m_predicted_log_increase.push_back(0);
    m_image_dissimilarity.push_back(1);
    return m_workers.back();
  }

  int Choose() const {
    std::vector<int> pool(m_workers.size());
    std::iota(pool.begin(), pool.end(), 0);
    return PlacementCandidates(&m_workers, pool, &m_query).Best(m_failed_on);
  }

  std::vector<Worker> m_workers;
  StepPlan m_step;
  std::string m_service = "pool";
  std::set<std::string> m_excluded_domains;
  std::vector<int> m_failed_on;
  std::vector<std::uint32_t> m_step_tasks_by_worker;
  std::vector<double> m_predicted_ratio;
  std::vector<double> m_predicted_log_increase;
  std::vector<double> m_image_dissimilarity;
  PlacementQuery m_query;
};

TEST_F(JobPlacementTest, PacksTasksThatReserveCpu) {
  AddWorker();
  AddWorker().m_used = {8000, 1000, 0};
  EXPECT_EQ(Choose(), 1);
}

TEST_F(JobPlacementTest, RejectsWorkersWithoutFreeCapacity) {
  AddWorker().m_used = {12001, 0, 0};
  EXPECT_EQ(Choose(), kNoWorker);
  m_workers[0].m_used = {8000, 0, 0};
  m_workers[0].m_unexpected_run_resources = {4001, 0, 0};
  EXPECT_EQ(Choose(), kNoWorker);
  m_workers[0].m_unexpected_run_resources = {4000, 0, 0};
  EXPECT_EQ(Choose(), 0);
  m_workers[0].m_has_unknown_runs = true;
  EXPECT_EQ(Choose(), kNoWorker);
}

TEST_F(JobPlacementTest, BestEffortTasksReserveOnlyMemory) {
  m_step.m_is_best_effort = true;
  Worker& worker = AddWorker();
  worker.m_used = {16000, 0, 0};
  worker.m_serving_cpu_milli = 16000;
  EXPECT_EQ(Choose(), 0);
  worker.m_used.m_memory_mib = 31001;
  EXPECT_EQ(Choose(), kNoWorker);
}

TEST_F(JobPlacementTest, BestEffortTasksAvoidHighPredictedTailRatio) {
  m_step.m_is_best_effort = true;
  AddWorker().m_serving_images["a"] = 1;
  AddWorker().m_serving_images["b"] = 1;
  m_predicted_ratio = {0.9, 0.5};
  EXPECT_EQ(Choose(), 1);
  m_predicted_ratio = {0.9, 0.9};
  EXPECT_EQ(Choose(), kNoWorker);
}

TEST_F(JobPlacementTest, BestEffortTasksPreferLeastInterference) {
  m_step.m_is_best_effort = true;
  AddWorker().m_serving_images["a"] = 1;
  AddWorker().m_serving_images["b"] = 1;
  m_workers[1].m_best_effort_cpu_milli = 6000;
  m_predicted_ratio = {0.6, 0.6};
  m_predicted_log_increase = {0.1, 0.01};
  EXPECT_EQ(Choose(), 1);
  m_predicted_log_increase = {0.01, 0.01};
  EXPECT_EQ(Choose(), 0);
}

TEST_F(JobPlacementTest, PredictsTailsOnlyOnWorkersWithCapacity) {
  m_step.m_is_best_effort = true;
  AddWorker().m_best_effort_cpu_milli = 16000;
  AddWorker().m_used.m_memory_mib = 32000;
  AddWorker();
  std::vector<std::size_t> predicted_workers;
  m_query.m_predict_tail_effect = [&predicted_workers](std::size_t i) {
    predicted_workers.push_back(i);
    return TailEffect();
  };
  EXPECT_EQ(Choose(), 2);
  EXPECT_EQ(predicted_workers, std::vector<std::size_t>{2});
}

TEST_F(JobPlacementTest, ServingTasksPreferWorkersWithSameImage) {
  m_step.m_tail_latency_target = milliseconds(10);
  m_step.m_image = "a";
  AddWorker();
  AddWorker().m_serving_images["b"] = 1;
  AddWorker().m_serving_images["a"] = 1;
  EXPECT_EQ(Choose(), 2);
  m_workers[2].m_used = {16000, 0, 0};
  EXPECT_EQ(Choose(), 0);
}

TEST_F(JobPlacementTest, ServingTasksPreferSimilarSensitivity) {
  m_step.m_tail_latency_target = milliseconds(10);
  m_step.m_image = "a";
  AddWorker().m_serving_images["b"] = 1;
  AddWorker().m_serving_images["c"] = 1;
  AddWorker();
  m_image_dissimilarity = {0.9, 0.1, 1};
  EXPECT_EQ(Choose(), 1);
  m_image_dissimilarity = {0.9, 0.8, 1};
  EXPECT_EQ(Choose(), 2);
}

TEST_F(JobPlacementTest, RequiresDomainLabelServiceAndPerWorkerLimit) {
  AddWorker();
  m_excluded_domains.insert("east");
  EXPECT_EQ(Choose(), kNoWorker);
  m_excluded_domains.clear();
  m_step.m_label = "gpu";
  EXPECT_EQ(Choose(), kNoWorker);
  m_workers[0].m_entry.m_labels = {"gpu"};
  EXPECT_EQ(Choose(), 0);
  m_step.m_max_tasks_per_worker = 1;
  m_step_tasks_by_worker[0] = 1;
  EXPECT_EQ(Choose(), kNoWorker);
  m_step_tasks_by_worker[0] = 0;
  m_service = "other";
  EXPECT_EQ(Choose(), kNoWorker);
}

TEST_F(JobPlacementTest, PrefersDataRackAndAvoidsFailedWorkers) {
  AddWorker();
  AddWorker();
  AddWorker();
  m_step.m_data_rack = "r2";
  EXPECT_EQ(Choose(), 2);
  m_step.m_data_rack.clear();
  m_failed_on = {0, 1};
  EXPECT_EQ(Choose(), 2);
}

TEST_F(JobPlacementTest, SkipsUnusableWorkers) {
  Worker& worker = AddWorker();
  worker.m_reachable = false;
  EXPECT_EQ(Choose(), kNoWorker);
  worker.m_reachable = true;
  worker.m_entry.m_leaving = true;
  EXPECT_EQ(Choose(), kNoWorker);
  worker.m_entry.m_leaving = false;
  worker.m_quarantined_until = kNow + milliseconds(1);
  EXPECT_EQ(Choose(), kNoWorker);
  worker.m_quarantined_until = kNow;
  worker.m_epoch_acknowledged = false;
  EXPECT_EQ(Choose(), kNoWorker);
}

// After each placement the candidates choose as a new evaluation would.
TEST_F(JobPlacementTest, UpdatedCandidatesMatchANewEvaluation) {
  for (const std::int64_t used : {0, 4000, 8000, 11000}) {
    AddWorker().m_used = {used, 0, 0};
  }
  std::vector<int> pool(m_workers.size());
  std::iota(pool.begin(), pool.end(), 0);
  PlacementCandidates candidates(&m_workers, pool, &m_query);
  for (int placed = 0; placed < 12; ++placed) {
    const int chosen = candidates.Best({});
    ASSERT_EQ(chosen, Choose());
    if (chosen == kNoWorker) {
      break;
    }
    m_workers[static_cast<std::size_t>(chosen)].m_used += m_step.m_size;
    candidates.Update(chosen);
  }
  EXPECT_EQ(candidates.Best({}), kNoWorker);
}

}  // namespace
}  // namespace hyssopspar::jobs
