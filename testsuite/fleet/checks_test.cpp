// Each check finds what it is made for.

#include "fleet/checks.h"

#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace fleet {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr const char* kJob = "5c0e7a21d94b36f8";
constexpr const char* kTask = "5c0e7a21d94b36f8.0.0.0";

JobSeen MakeJob(JobKind kind) {
  JobSeen job;
  job.m_plan.m_id = kJob;
  job.m_plan.m_kind = kind;
  job.m_is_accepted = true;
  job.m_accepted_at = milliseconds(1000);
  return job;
}

RunSeen MakeRun(std::uint32_t number, int began, int ended, const char* how) {
  RunSeen run;
  run.m_task = kTask;
  run.m_run = number;
  run.m_worker = "i-" + std::to_string(number);
  run.m_began = milliseconds(began);
  run.m_ended = milliseconds(ended);
  run.m_how = how;
  return run;
}

Evidence MakeEvidence(JobKind kind, const std::vector<RunSeen>& runs) {
  Evidence evidence;
  evidence.m_jobs = {MakeJob(kind)};
  evidence.m_runs = runs;
  evidence.m_least_attempts = 2;
  return evidence;
}

Objection Shown(const char* state) {
  return {kJob, state, 0, milliseconds(9000), milliseconds(9010)};
}

TEST(FleetChecksTest, FailedJobNeedsAsManyFailedRunsAsAttempts) {
  Evidence evidence = MakeEvidence(
      JobKind::kShort,
      {MakeRun(1, 2000, 3000, "failed"), MakeRun(2, 3000, 4000, "lapsed")});
  evidence.m_objections = {Shown("failed")};
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("LOST")));
  evidence.m_runs.push_back(MakeRun(3, 4000, 5000, "failed"));
  EXPECT_THAT(FindViolations(evidence), IsEmpty());
}

TEST(FleetChecksTest, CrashesExcuseOnlyDeadlyJobs) {
  const std::vector<RunSeen> runs = {MakeRun(1, 2000, 2100, "crashed"),
                                     MakeRun(2, 3000, 3100, "crashed")};
  Evidence evidence = MakeEvidence(JobKind::kLasting, runs);
  evidence.m_objections = {Shown("failed")};
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("LOST")));
  evidence.m_jobs = {MakeJob(JobKind::kDeadlyLasting)};
  EXPECT_THAT(FindViolations(evidence), IsEmpty());
}

TEST(FleetChecksTest, LastingTasksHaveNoLimitOfFailedRuns) {
  Evidence evidence = MakeEvidence(
      JobKind::kLasting,
      {MakeRun(1, 2000, 3000, "failed"), MakeRun(2, 3000, 4000, "failed")});
  evidence.m_objections = {Shown("failed")};
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("LOST")));
}

TEST(FleetChecksTest, JobIsKnownAtCalmNodes) {
  Evidence evidence = MakeEvidence(JobKind::kShort, {});
  evidence.m_objections = {Shown("unknown")};
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("unknown")));
  evidence.m_disrupted = {{0, milliseconds(5000), milliseconds(6500)}};
  EXPECT_THAT(FindViolations(evidence), IsEmpty());
  evidence.m_disrupted = {{0, milliseconds(5000), milliseconds(5900)}};
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("unknown")));
}

TEST(FleetChecksTest, RunsOfATaskDoNotOverlap) {
  EXPECT_THAT(FindViolations(MakeEvidence(JobKind::kShort,
                                          {MakeRun(1, 2000, 3000, "lapsed"),
                                           MakeRun(2, 2999, 4000, "done")})),
              ElementsAre(HasSubstr("TWICE")));
  EXPECT_THAT(FindViolations(MakeEvidence(
                  JobKind::kShort,
                  {MakeRun(1, 2000, -1, ""), MakeRun(2, 4000, 5000, "done")})),
              ElementsAre(HasSubstr("TWICE")));
  EXPECT_THAT(FindViolations(MakeEvidence(JobKind::kShort,
                                          {MakeRun(1, 2000, 3000, "lapsed"),
                                           MakeRun(2, 3000, 4000, "done")})),
              IsEmpty());
}

TEST(FleetChecksTest, StartsOfDeadlyTasksEnd) {
  std::vector<RunSeen> runs;
  for (int i = 1; i <= 5; ++i) {
    runs.push_back(MakeRun(static_cast<std::uint32_t>(i), 1000 * i,
                           1000 * i + 100, "crashed"));
  }
  EXPECT_THAT(FindViolations(MakeEvidence(JobKind::kDeadly, runs)), IsEmpty());
  runs.push_back(MakeRun(6, 6000, 6100, "crashed"));
  Evidence evidence = MakeEvidence(JobKind::kDeadly, runs);
  EXPECT_THAT(FindViolations(evidence), ElementsAre(HasSubstr("BUDGET")));
  evidence.m_disrupted = {{1, milliseconds(2000), milliseconds(3500)}};
  EXPECT_THAT(FindViolations(evidence), IsEmpty());
}

TEST(FleetChecksTest, LastingJobsRunWhole) {
  const std::vector<JobSeen> jobs = {MakeJob(JobKind::kLasting)};
  EXPECT_THAT(FindIncompleteLasting(jobs, {MakeRun(1, 2000, 3000, "stopped")}),
              ElementsAre(kJob));
  EXPECT_THAT(FindIncompleteLasting(jobs, {MakeRun(1, 2000, -1, "")}),
              IsEmpty());
}

}  // namespace
}  // namespace fleet
