#include "hyssopspar/jobs/records.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

/// Progress of \p tasks tasks in which each differs from its neighbours.
JobProgress MixedProgress(std::uint32_t tasks) {
  JobProgress progress;
  progress.m_state = JobState::kRunning;
  for (std::uint32_t i = 0; i < tasks; ++i) {
    progress.m_task_states.push_back(i % 2 == 0 ? TaskState::kRunning
                                                : TaskState::kStarting);
    progress.m_run_numbers.push_back(1000 + i % 7);
    progress.m_failure_counts.push_back(i % 3);
    progress.m_worker_slots.push_back(1 + i % 3000);
    progress.m_crash_counts.push_back(i % 2 == 0 ? kSurvivedMark : 1);
    progress.m_crash_evidence.push_back(1 + i % 2);
    progress.m_worker_incarnations.push_back(1700000000000 + i);
  }
  for (int i = 0; i < 3000; ++i) {
    progress.m_workers.push_back("i-0123456789");
  }
  return progress;
}

TEST(RecordsTest, RestoresTheProgressThatWasEncoded) {
  JobProgress progress = MixedProgress(500);
  progress.m_task_checkpoints.resize(500);
  progress.m_task_checkpoints[7] = "checkpoint";
  const Result<JobProgress> decoded = DecodeProgress(EncodeProgress(progress));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().m_task_states, progress.m_task_states);
  EXPECT_EQ(decoded.value().m_run_numbers, progress.m_run_numbers);
  EXPECT_EQ(decoded.value().m_failure_counts, progress.m_failure_counts);
  EXPECT_EQ(decoded.value().m_worker_slots, progress.m_worker_slots);
  EXPECT_EQ(decoded.value().m_task_checkpoints, progress.m_task_checkpoints);
  EXPECT_EQ(decoded.value().m_crash_counts, progress.m_crash_counts);
  EXPECT_EQ(decoded.value().m_worker_incarnations,
            progress.m_worker_incarnations);
}

// A record that names an enormous number of tasks must not exhaust the memory.
TEST(RecordsTest, RefusesProgressOfMoreTasksThanAJobCanHave) {
  JobProgress progress;
  progress.m_run_numbers.resize(kMaxTasksOfAllOccurrences + 1);
  EXPECT_FALSE(DecodeProgress(EncodeProgress(progress)));
}

// An accepted job whose progress outgrew the store's limits stopped all jobs.
TEST(RecordsTest, ProgressOfTheLargestStorableJobFitsIntoABatch) {
  const std::string record =
      EncodeProgress(MixedProgress(kMaxTasksOfAllOccurrences));
  EXPECT_LE(record.size(), StoreLimits().m_max_batch_bytes);
}

TEST(RecordsTest, RefusesJobsThatTheStoreCanNotTake) {
  Submission job;
  job.m_plan.m_steps.resize(1);
  job.m_plan.m_occurrences = kMaxTasksOfAllOccurrences;
  EXPECT_TRUE(EncodeStorableSubmission(job, StoreLimits()));
  StoreLimits small;
  small.m_max_batch_bytes = 100000;
  const Result<std::string> too_many = EncodeStorableSubmission(job, small);
  ASSERT_FALSE(too_many);
  EXPECT_EQ(too_many.error().m_code, ErrorCode::kTooLarge);
  job.m_plan.m_occurrences = 0;
  job.m_plan.m_steps[0].m_image = std::string(300000, 'i');
  EXPECT_FALSE(EncodeStorableSubmission(job, StoreLimits()));
}

}  // namespace
}  // namespace hyssopspar::jobs
