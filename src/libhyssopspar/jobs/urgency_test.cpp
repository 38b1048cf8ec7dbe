#include "hyssopspar/jobs/urgency.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

constexpr std::int64_t kNow = 1700000000000;

/// Job of two dependent steps of 10 tasks, accepted at kNow.
Job TwoSteps() {
  Submission submission;
  submission.m_accepted_unix_ms = kNow;
  submission.m_queue.m_name = "moulds";
  submission.m_queue.m_stretch = 2;
  StepPlan step;
  step.m_tasks = 10;
  submission.m_plan.m_steps = {step, step};
  submission.m_plan.m_steps[1].m_depends_on = {0};
  return MakeJob(submission);
}

DeadlineStatus StatusAt(const Job& job,
                        const RunTimeEstimates& run_times,
                        milliseconds age) {
  return std::get<1>(UrgencyOf(job, run_times, kNow + age.count()));
}

TEST(UrgencyTest, StepTimeIsThatOfItsSlowestTask) {
  RunTimeEstimates run_times;
  run_times.Add("moulds", milliseconds(1000));
  EXPECT_EQ(run_times.EstimateStepTime("moulds"), milliseconds(1500));
  run_times.AddSlowestOfStep("moulds", milliseconds(3000));
  EXPECT_EQ(run_times.EstimateStepTime("moulds"), milliseconds(3000));
  EXPECT_EQ(run_times.MeanRunTime("moulds"), milliseconds(1000));
}

// Wide steps take much longer than a mean task. A job that can't make its
// objective any more yields to those that can.
TEST(UrgencyTest, JobYieldsWhenItsSlowestTasksWouldBeLate) {
  RunTimeEstimates run_times;
  run_times.Add("moulds", milliseconds(1000));
  run_times.AddSlowestOfStep("moulds", milliseconds(3000));
  const Job job = TwoSteps();
  EXPECT_EQ(StatusAt(job, run_times, milliseconds(5900)),
            DeadlineStatus::kMeetsObjective);
  EXPECT_EQ(StatusAt(job, run_times, milliseconds(6100)),
            DeadlineStatus::kWithinLateLimit);
}

TEST(UrgencyTest, LastTasksOfAStepNeedNoMoreThanAMeanRun) {
  RunTimeEstimates run_times;
  run_times.Add("moulds", milliseconds(1000));
  run_times.AddSlowestOfStep("moulds", milliseconds(3000));
  Job job = TwoSteps();
  for (std::size_t i = 0; i < 19; ++i) {
    SetTaskState(&job, i, TaskState::kDone);
  }
  EXPECT_EQ(StatusAt(job, run_times, milliseconds(10500)),
            DeadlineStatus::kMeetsObjective);
  EXPECT_EQ(StatusAt(job, run_times, milliseconds(11500)),
            DeadlineStatus::kWithinLateLimit);
}

// A long-running job keeps the room that short jobs return within seconds.
TEST(UrgencyTest, LongRunningJobWithoutStartedTaskComesAfterShortJobs) {
  Job waiting = TwoSteps();
  waiting.m_submission.m_plan.m_steps[0].m_long_running = true;
  Job running = waiting;
  running.m_has_started_task = true;
  const RunTimeEstimates run_times;
  const Urgency short_job = UrgencyOf(TwoSteps(), run_times, kNow);
  EXPECT_LT(short_job, UrgencyOf(waiting, run_times, kNow));
  EXPECT_LT(UrgencyOf(running, run_times, kNow), short_job);
}

}  // namespace
}  // namespace hyssopspar::jobs
