#include "hyssopspar/jobs/cell_loader.h"

#include <gtest/gtest.h>

#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/records.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellLoaderTest : public CellTest {
 protected:
  void Load(const std::vector<KeyedRecord>& progress,
            const std::vector<KeyedRecord>& jobs) {
    for (const KeyedRecord& record : progress) {
      m_loader.ApplyProgressRecord(record);
    }
    for (const KeyedRecord& record : jobs) {
      m_loader.ApplyJobRecord(record, &m_cell, m_now);
    }
    m_loader.Finish(&m_cell, m_now);
    AddWorker("w0");
    m_cell.Activate(m_now);
    Run(milliseconds(500));
  }

  static JobProgress ProgressOf(JobState state, TaskState task) {
    JobProgress progress;
    progress.m_state = state;
    progress.m_task_states = {task, task};
    progress.m_run_numbers = {1, 1};
    progress.m_failure_counts = {0, 0};
    progress.m_worker_slots = {0, 0};
    return progress;
  }

  static KeyedRecord JobRecord(const std::string& id) {
    return {id, EncodeSubmission(MakeJob(id, Step(1, 1000)))};
  }

  CellLoader m_loader;
};

// A job whose progress can't be read, lacks a part or is of another number of
// tasks must not be taken for one that has ended.
TEST_F(CellLoaderTest, JobsWithUnreadableProgressRun) {
  const std::string other =
      EncodeProgress(ProgressOf(JobState::kRunning, TaskState::kFailed));
  Load({{"garbled", "nonsense"}, {"empty", std::nullopt}, {"other", other}},
       {JobRecord("garbled"), JobRecord("empty"), JobRecord("other"),
        JobRecord("none")});
  for (const char* const id : {"garbled", "empty", "other", "none"}) {
    EXPECT_EQ(m_cell.StateOf(id), JobState::kRunning) << id;
    EXPECT_EQ(StartsOf(id), 1U) << id;
  }
}

// A job that has ended keeps its state when it is submitted once more, and
// after its submission has been replaced by a tombstone.
TEST_F(CellLoaderTest, EndedJobsKeepTheirState) {
  JobProgress completed;
  completed.m_state = JobState::kCompleted;
  JobProgress failed;
  failed.m_state = JobState::kFailed;
  Load({{"a", EncodeProgress(completed)},
        {"b", EncodeProgress(failed)},
        {"c", EncodeProgress(completed)}},
       {JobRecord("a"), JobRecord("b"), {"c", std::string(kTombstoneValue)}});
  m_cell.OnJob(MakeJob("a", Step(1, 1000)), m_now);
  m_cell.OnCancel("a", {}, m_now);
  Run(milliseconds(500));
  EXPECT_EQ(m_cell.StateOf("a"), JobState::kCompleted);
  EXPECT_EQ(m_cell.StateOf("b"), JobState::kFailed);
  EXPECT_EQ(m_cell.StateOf("c"), JobState::kCompleted);
  EXPECT_TRUE(m_starts.empty());
}

}  // namespace
}  // namespace hyssopspar::jobs
