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

  /// Ends \p count runs of the job as done, or fewer if fewer run. Returns the
  /// workers on which they ran.
  std::vector<std::string> EndRuns(const std::string& job_id,
                                   std::size_t count = 1) {
    std::vector<std::string> workers;
    for (auto& worker : m_running) {
      std::vector<RunningRun>& runs = worker.second;
      for (auto run = runs.begin(); run != runs.end();) {
        if (run->m_task.m_job != job_id || workers.size() == count) {
          ++run;
          continue;
        }
        std::vector<EndedRun>& ended = m_ended[worker.first];
        ended.push_back(
            {ended.size() + 1, run->m_task, run->m_run, EndCause::kDone, ""});
        run = runs.erase(run);
        workers.push_back(worker.first);
      }
    }
    return workers;
  }

  std::size_t RunsOf(const std::string& job_id) const {
    std::size_t count = 0;
    for (const auto& worker : m_running) {
      count += static_cast<std::size_t>(std::count_if(
          worker.second.begin(), worker.second.end(),
          [&](const RunningRun& run) { return run.m_task.m_job == job_id; }));
    }
    return count;
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
  m_cell.OnCancel("large", {}, m_now);
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
  EXPECT_EQ(m_cell.StateOf("large"), JobState::kRunning);
  EXPECT_TRUE(m_stops.empty());
  m_store_record_bytes = 262144;
  EndRuns("large", 40);
  Run(milliseconds(5000));
  EXPECT_EQ(m_cell.StateOf("large"), JobState::kCompleted);
  EXPECT_EQ(StartsOf("large"), 40U);
}

// A store that refused all records for a few seconds ended each job that it was
// asked to store as failed, and their tasks that last were stopped.
TEST_F(CellStoreTest, JobsSurviveAStoreThatRefusesEverythingForAWhile) {
  m_cell.OnJob(MakeJob("service", LongRunning(Step(4, 1000))), m_now);
  m_cell.OnJob(MakeJob("batch", Step(3, 1000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(RunsOf("service"), 4U);
  ASSERT_EQ(RunsOf("batch"), 3U);
  m_store_refuses = true;
  const std::vector<std::string> ended_on = EndRuns("batch");
  EndRuns("service");
  for (int i = 0; i < 8; ++i) {
    m_cell.OnJob(MakeJob("new" + std::to_string(i), Step(1, 1000)), m_now);
  }
  Run(milliseconds(4000));
  EXPECT_EQ(m_cell.StateOf("service"), JobState::kRunning);
  EXPECT_EQ(m_cell.StateOf("batch"), JobState::kRunning);
  EXPECT_EQ(RunsOf("service"), 3U);
  EXPECT_EQ(RunsOf("batch"), 2U);
  EXPECT_EQ(m_acked[ended_on[0]], 0U);

  m_store_refuses = false;
  Run(milliseconds(5000));
  EXPECT_TRUE(m_stops.empty());
  EXPECT_EQ(RunsOf("service"), 4U);
  EXPECT_EQ(StartsOf("service"), 5U);
  EXPECT_EQ(StartsOf("batch"), 3U);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(StartsOf("new" + std::to_string(i)), 1U) << i;
  }
  EXPECT_GT(m_acked[ended_on[0]], 0U);
  EndRuns("batch", 2);
  Run(milliseconds(3000));
  EXPECT_EQ(m_cell.StateOf("batch"), JobState::kCompleted);
}

// A job with a refused record ended as failed; while its end was refused, no
// end on any worker was acknowledged.
TEST_F(CellStoreTest, EndsOfOtherJobsAreAcknowledgedBesideARefusedJob) {
  m_cell.OnJob(MakeJob("refused", Step(1, 16000)), m_now);
  m_cell.OnJob(MakeJob("other", Step(39, 16000)), m_now);
  m_cell.OnJob(MakeJob("later", Step(1, 16000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(RunsOf("refused"), 1U);
  m_refused_keys.insert("refused");
  const std::string shared = EndRuns("refused")[0];
  Run(milliseconds(2500));
  // Another job's task ends on the worker whose first end can't be stored.
  ASSERT_EQ(RunsOf("later"), 1U);
  ASSERT_EQ(EndRuns("later")[0], shared);
  const std::vector<std::string> others = EndRuns("other", 39);
  Run(milliseconds(2500));
  for (const std::string& worker : others) {
    EXPECT_EQ(m_acked[worker], 1U) << worker;
  }
  EXPECT_EQ(m_acked[shared], 0U);
  EXPECT_EQ(m_cell.StateOf("refused"), JobState::kRunning);
  EXPECT_EQ(m_cell.StateOf("other"), JobState::kCompleted);

  m_refused_keys.clear();
  Run(milliseconds(5000));
  EXPECT_EQ(m_acked[shared], 2U);
  EXPECT_EQ(m_cell.StateOf("refused"), JobState::kCompleted);
  EXPECT_EQ(StartsOf("refused"), 1U);
}

// Each heartbeat repeated the last acknowledgement. One that was executed by
// the worker's next incarnation, whose ends are counted anew, discarded ends
// that no report had listed: their tasks, which were done, were started again.
TEST_F(CellStoreTest, AcknowledgesOnlyEndsThatTheLastReportLists) {
  AddWorker("w0");
  m_cell.Activate(m_now);
  m_cell.OnJob(MakeJob("a", Step(2, 1000)), m_now);
  Run(milliseconds(500));
  ASSERT_EQ(StartsOf("a"), 2U);
  m_running["w0"].pop_back();
  m_ended["w0"] = {{1, m_starts[1].m_task, 1, EndCause::kDone, ""}};
  Run(milliseconds(500));
  EXPECT_EQ(m_acked["w0"], 1U);
  m_ended["w0"].clear();
  Run(milliseconds(500));
  m_acked["w0"] = 0;
  Run(milliseconds(1000));
  EXPECT_EQ(m_acked["w0"], 0U);
}

// Placements that the store refuses kept their room on the workers, or ended
// the job.
TEST_F(CellStoreTest, PlacementsThatCannotBeStoredHoldNoRoom) {
  m_refused_keys.insert("refused");
  m_cell.OnJob(MakeJob("refused", Step(40, 16000)), m_now);
  Run(milliseconds(500));
  m_cell.OnJob(MakeJob("other", Step(40, 16000)), m_now);
  Run(milliseconds(1500));
  EXPECT_EQ(StartsOf("refused"), 0U);
  EXPECT_EQ(StartsOf("other"), 40U);
  EXPECT_EQ(m_cell.StateOf("refused"), JobState::kQueued);
  EXPECT_EQ(m_cell.CountPendingJobs("quotes"), 1U);

  m_refused_keys.clear();
  EndRuns("other", 40);
  Run(milliseconds(6000));
  EXPECT_EQ(StartsOf("refused"), 40U);
}

// Cancelling a job whose record is refused has to stop its tasks.
TEST_F(CellStoreTest, CancelOfARefusedJobStopsItsTasks) {
  m_cell.OnJob(MakeJob("refused", LongRunning(Step(3, 1000))), m_now);
  Run(milliseconds(500));
  m_refused_keys.insert("refused");
  EndRuns("refused");
  Run(milliseconds(1000));
  EXPECT_EQ(m_cell.StateOf("refused"), JobState::kRunning);
  EXPECT_TRUE(m_stops.empty());
  m_cell.OnCancel("refused", {}, m_now);
  Run(milliseconds(100));
  EXPECT_EQ(m_stops.size(), 2U);
  EXPECT_EQ(m_cell.StateOf("refused"), JobState::kCancelled);
  m_refused_keys.clear();
  Run(milliseconds(5000));
  EXPECT_EQ(m_cell.FindJob("refused")->m_stored_state, JobState::kCancelled);
}

// A task of a job whose record is refused can't be started elsewhere: stopping
// it to move it would only end it.
TEST_F(CellStoreTest, TasksOfARefusedJobAreNotMoved) {
  StepPlan serving = LongRunning(Step(40, 4000));
  serving.m_max_tasks_per_worker = 1;
  serving.m_image = "web";
  serving.m_tail_latency_target = milliseconds(100);
  m_cell.OnJob(MakeJob("serving", serving), m_now);
  m_usage = 50;
  Run(milliseconds(500));
  StepPlan movable = Step(2, 4000);
  movable.m_is_best_effort = true;
  movable.m_supports_checkpoints = true;
  movable.m_image = "mould";
  m_cell.OnJob(MakeJob("movable", movable), m_now);
  m_usage = 4000;
  Run(milliseconds(1000));
  ASSERT_EQ(RunsOf("movable"), 2U);
  m_refused_keys.insert("movable");
  EndRuns("movable");
  Run(milliseconds(500));
  for (auto& worker : m_running) {
    for (RunningRun& run : worker.second) {
      run.m_usage = run.m_task.m_job == "serving" ? 900 : run.m_usage;
    }
  }
  Run(milliseconds(1500));
  ASSERT_FALSE(m_throttles.empty());
  EXPECT_TRUE(m_stops.empty());
  m_refused_keys.clear();
  Run(milliseconds(8000));
  EXPECT_FALSE(m_stops.empty());
}

// Every retry of a refused record was a batch with other jobs, which had to be
// split again.
TEST_F(CellStoreTest, RetriesOfRefusedJobsAreFewAndShareNoBatch) {
  for (int i = 0; i < 5; ++i) {
    const std::string id = "refused" + std::to_string(i);
    m_refused_keys.insert(id);
    m_cell.OnJob(MakeJob(id, Step(1, 1000)), m_now);
  }
  Run(milliseconds(10000));
  const std::size_t refused_before = m_refused_batches;
  for (int i = 0; i < 50; ++i) {
    m_cell.OnJob(MakeJob("other" + std::to_string(i), Step(1, 1000)), m_now);
    Run(milliseconds(200));
    EXPECT_EQ(StartsOf("other" + std::to_string(i)), 1U) << i;
  }
  // Each of the five once in four seconds.
  EXPECT_GE(m_refused_batches - refused_before, 10U);
  EXPECT_LE(m_refused_batches - refused_before, 15U);
}

// A batch whose confirmation was lost and whose repeat was refused was replaced
// by another one with its number, which the store takes for the repeat:
// progress counted as stored that was not.
TEST_F(CellStoreTest, RefusedRepeatMayBeStored) {
  m_next_confirmation_is_lost = true;
  m_cell.OnJob(MakeJob("first", Step(1, 1000)), m_now);
  Run(milliseconds(25));
  m_store_refuses = true;
  Run(milliseconds(500));
  EXPECT_TRUE(m_starts.empty());
  m_store_refuses = false;
  m_cell.OnJob(MakeJob("second", Step(1, 1000)), m_now);
  Run(milliseconds(3000));
  for (const std::string id : {"first", "second"}) {
    EXPECT_EQ(StartsOf(id), 1U) << id;
    EXPECT_NE(StoredProgressOf(id), "") << id;
  }
}

// A repeat that is refused for ever must not stop all jobs: the next owner
// finds out what is stored.
TEST_F(CellStoreTest, OwnerGivesUpOverARepeatThatIsAlwaysRefused) {
  const TimePoint lease_end = m_now + milliseconds(40000);
  m_cell.SetOwnershipLeaseDeadline(lease_end);
  m_next_confirmation_is_lost = true;
  m_cell.OnJob(MakeJob("first", Step(1, 1000)), m_now);
  Run(milliseconds(25));
  m_store_refuses = true;
  // Without renewals, the store may refuse everything.
  Run(milliseconds(20000));
  EXPECT_FALSE(m_cell.IsFenced());
  m_cell.SetOwnershipLeaseDeadline(lease_end + milliseconds(4500));
  Run(milliseconds(1000));
  EXPECT_FALSE(m_cell.IsFenced());
  m_cell.SetOwnershipLeaseDeadline(lease_end + milliseconds(5500));
  Run(milliseconds(1000));
  EXPECT_TRUE(m_cell.IsFenced());
  EXPECT_TRUE(m_starts.empty());
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
