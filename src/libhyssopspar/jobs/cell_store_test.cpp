// Tests of storing a cell's progress.

#include <gtest/gtest.h>

#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/records.h"
#include "jobs/cell_fixture.h"

namespace hyssopspar::jobs {
namespace {

class CellStoreTest : public CellTest {
 protected:
  void SetUp() override {
    for (int i = 0; i < 40; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    m_cell.Activate(m_now);
    Run(milliseconds(100));
  }

  /// Lets each run of the job report a checkpoint of \p bytes.
  void AddCheckpoints(const std::string& job_id, std::size_t bytes) {
    for (auto& worker : m_running) {
      for (RunningRun& run : worker.second) {
        if (run.m_task.m_job == job_id) {
          run.m_checkpoint = std::string(bytes, 'c') + ToString(run.m_task);
        }
      }
    }
  }

  /// Makes the job's progress be stored.
  void ChangeProgress(const std::string& job_id) {
    for (auto& worker : m_running) {
      for (auto run = worker.second.begin(); run != worker.second.end();
           ++run) {
        if (run->m_task.m_job == job_id) {
          m_ended[worker.first].push_back(
              {1, run->m_task, run->m_run, EndCause::kDone, ""});
          worker.second.erase(run);
          return;
        }
      }
    }
  }
};

// A job whose progress was larger than a record of the store kept all jobs from
// being started: the owner sent the refused record again for ever.
TEST_F(CellStoreTest, StoresProgressThatIsLargerThanARecord) {
  const Submission large = MakeJob("large", Step(400, 1000));
  m_cell.OnJob(large, m_now);
  Run(milliseconds(500));
  ASSERT_EQ(StartsOf("large"), 400U);
  AddCheckpoints("large", 1500);
  Run(milliseconds(2500));
  ChangeProgress("large");
  Run(milliseconds(2500));
  m_cell.OnJob(MakeJob("other", Step(1, 1000)), m_now);
  Run(milliseconds(500));
  EXPECT_EQ(StartsOf("other"), 1U);
  EXPECT_EQ(m_refused_batches, 0U);

  Cell successor(Settings(m_now), m_now);
  CellLoader loader;
  for (const KeyedRecord& record : m_stored) {
    loader.ApplyProgressRecord(record);
  }
  loader.ApplyJobRecord({"large", EncodeSubmission(large)}, &successor, m_now);
  loader.Finish(&successor, m_now);
  const Job* const restored = successor.FindJob("large");
  ASSERT_NE(restored, nullptr);
  EXPECT_GT(restored->m_tasks[399].m_checkpoint.size(), 1500U);
  EXPECT_GT(restored->m_stored_parts, 1U);
}

// The parts of a job's progress stayed in the store after its end.
TEST_F(CellStoreTest, RemovesPartsThatAreNotReplaced) {
  m_cell.OnJob(MakeJob("large", Step(400, 1000)), m_now);
  Run(milliseconds(500));
  AddCheckpoints("large", 1500);
  Run(milliseconds(2500));
  ChangeProgress("large");
  Run(milliseconds(2500));
  ASSERT_GT(m_cell.FindJob("large")->m_stored_parts, 1U);
  m_cell.OnCancel("large", m_now);
  m_running.clear();
  Run(milliseconds(2500));
  std::map<std::string, std::string> newest;
  for (const KeyedRecord& record : m_stored) {
    newest[record.m_key] = record.m_value.value_or("");
  }
  for (const auto& entry : newest) {
    const bool is_part = entry.first.find('/') != std::string::npos;
    EXPECT_TRUE(!is_part || entry.second.empty()) << entry.first;
  }
}

// One job that the store refuses, for whatever reason, stopped all others.
TEST_F(CellStoreTest, RefusedJobDoesNotStopTheOthers) {
  m_store_record_bytes = 20000;
  m_cell.OnJob(MakeJob("large", Step(40, 1000)), m_now);
  Run(milliseconds(500));
  AddCheckpoints("large", 1500);
  Run(milliseconds(2500));
  ChangeProgress("large");
  for (int i = 0; i < 10; ++i) {
    m_cell.OnJob(MakeJob("other" + std::to_string(i), Step(1, 1000)), m_now);
  }
  Run(milliseconds(4000));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(StartsOf("other" + std::to_string(i)), 1U) << i;
  }
  EXPECT_GT(m_refused_batches, 0U);
  EXPECT_LT(m_refused_batches, 10U);
  EXPECT_EQ(m_cell.StateOf("large"), JobState::kFailed);
}

// A crash of one worker made the record of a job with many occurrences larger
// than the store's records.
TEST_F(CellStoreTest, StoresAScheduleOfManyOccurrencesBriefly) {
  Submission schedule = MakeJob("schedule", Step(1, 1000));
  schedule.m_plan.m_occurrences = 43200;
  schedule.m_plan.m_first_due_unix_ms = kNowUnixMs;
  schedule.m_plan.m_interval = milliseconds(60000);
  m_cell.OnJob(schedule, m_now);
  Run(milliseconds(500));
  ASSERT_EQ(StartsOf("schedule"), 1U);
  m_running[m_start_workers.back()].clear();
  ++m_incarnations[m_start_workers.back()];
  Run(milliseconds(4000));
  EXPECT_EQ(StartsOf("schedule"), 2U);
  EXPECT_LT(StoredProgressOf("schedule").size(), 1000U);
}

}  // namespace
}  // namespace hyssopspar::jobs
