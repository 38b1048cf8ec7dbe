#include "hyssopspar/jobs/admission/admission.h"

#include <gtest/gtest.h>

#include "hyssopspar/jobs/admission/drain_meter.h"
#include "hyssopspar/jobs/admission/refusal_book.h"
#include "hyssopspar/jobs/records.h"

namespace hyssopspar::jobs {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};
constexpr milliseconds kFresh{900};

/// Two steps of ten tasks. Its objective is 3.3 s with steps of one second, so
/// that it is worth something up to 9.9 s, and may wait for 7.9 s.
Submission ShortJob(const std::string& tenant = "") {
  Submission job;
  job.m_id = "0123456789abcdef";
  job.m_queue.m_name = "quotes";
  job.m_queue.m_stretch = 1.5;
  job.m_queue.m_latency_target = milliseconds(300);
  job.m_tenant = tenant;
  StepPlan step;
  step.m_tasks = 10;
  step.m_size = {1000, 1000, 0};
  job.m_plan.m_steps = {step, step};
  job.m_plan.m_steps[1].m_depends_on = {0};
  return job;
}

/// Load of the job's queue in which the work ahead takes \p wait.
LoadSummary LoadWith(seconds wait, seconds wait_over_share = seconds(0)) {
  QueueLoad queue;
  queue.m_queue = NameHash("quotes");
  queue.m_step_time = queue.m_task_time = seconds(1);
  queue.m_drain_rate = 100000;
  queue.m_backlog = queue.m_drain_rate * wait.count();
  queue.m_backlog_over_share = queue.m_drain_rate * wait_over_share.count();
  LoadSummary load;
  load.m_queues = {queue};
  load.m_tenants_over_share = {NameHash("hot")};
  return load;
}

AdmissionReason ReasonFor(const Submission& job,
                          const LoadSummary& load,
                          Duration age = kFresh) {
  return EstimateAdmission(job, &load, age).m_reason;
}

TEST(AdmissionTest, RefusesOnlyJobsThatCanNotEndWithinThreeTimesTheObjective) {
  EXPECT_EQ(ReasonFor(ShortJob(), LoadWith(seconds(1))),
            AdmissionReason::kInTime);
  EXPECT_EQ(ReasonFor(ShortJob(), LoadWith(seconds(7))),
            AdmissionReason::kMayBeLate);
  EXPECT_EQ(ReasonFor(ShortJob(), LoadWith(seconds(8))),
            AdmissionReason::kTooLate);
}

TEST(AdmissionTest, LongRunningAndScheduledJobsMayWait) {
  Submission serving = ShortJob();
  serving.m_plan.m_steps[0].m_long_running = true;
  EXPECT_EQ(ReasonFor(serving, LoadWith(seconds(60))),
            AdmissionReason::kNoDeadline);
  Submission scheduled = ShortJob();
  scheduled.m_plan.m_occurrences = 3;
  EXPECT_EQ(ReasonFor(scheduled, LoadWith(seconds(60))),
            AdmissionReason::kNoDeadline);
}

// A lost owner's last summary says nothing about its successor's backlog.
TEST(AdmissionTest, LostOwnerAndStaleSummaryRefuseNothing) {
  EXPECT_EQ(EstimateAdmission(ShortJob(), nullptr, kFresh).m_reason,
            AdmissionReason::kNoSummary);
  EXPECT_EQ(ReasonFor(ShortJob(), LoadWith(seconds(60)), milliseconds(2500)),
            AdmissionReason::kStale);
}

// 61.7 of worth was refused while workers were free.
TEST(AdmissionTest, WorkersFreeRefuseNothing) {
  LoadSummary load = LoadWith(seconds(60));
  load.m_queues[0].m_free = {1000, 1000, 0};
  EXPECT_EQ(ReasonFor(ShortJob(), load), AdmissionReason::kWorkersFree);
  load.m_queues[0].m_free = {999, 1000, 0};
  EXPECT_EQ(ReasonFor(ShortJob(), load), AdmissionReason::kTooLate);
}

TEST(AdmissionTest, QueueWithoutHistoryOrBacklogRefusesNothing) {
  LoadSummary load = LoadWith(seconds(60));
  load.m_queues[0].m_drain_rate = 0;
  EXPECT_EQ(ReasonFor(ShortJob(), load), AdmissionReason::kNoHistory);
  EXPECT_EQ(ReasonFor(ShortJob(), LoadSummary()), AdmissionReason::kNoBacklog);
}

// The backlog of a hot tenant must not refuse the jobs of the others, which go
// ahead of it.
TEST(AdmissionTest, HotTenantIsRefusedAndTheOthersAreNot) {
  const LoadSummary load = LoadWith(seconds(1), seconds(30));
  EXPECT_EQ(ReasonFor(ShortJob("hot"), load), AdmissionReason::kTooLate);
  EXPECT_EQ(ReasonFor(ShortJob("calm"), load), AdmissionReason::kInTime);
}

// In the first second of a burst hardly any task has ended. A rate measured
// then, or under the light load before, would refuse jobs that can end in time.
TEST(DrainMeterTest, BurstHasNoRateUntilItsFirstTasksCouldEnd) {
  DrainMeter meter;
  for (int i = 0; i < 20; ++i) {
    AddEndedTask(&meter, 1000, seconds(2));
    TakeSample(&meter, false, seconds(2), kNow + i * milliseconds(800));
  }
  TimePoint now = kNow + seconds(60);
  TakeSample(&meter, true, seconds(2), now);
  for (int i = 0; i < 2; ++i) {
    now += milliseconds(800);
    TakeSample(&meter, true, seconds(2), now);
    EXPECT_EQ(DrainRate(meter), 0);
  }
  // 100 processors: 40 tasks of two seconds end in each sample.
  for (int i = 0; i < 6; ++i) {
    for (int task = 0; task < 40; ++task) {
      AddEndedTask(&meter, 1000, seconds(2));
    }
    now += milliseconds(800);
    TakeSample(&meter, true, seconds(2), now);
  }
  EXPECT_EQ(DrainRate(meter), 100000);
  // Refusals empty the queue for a moment.
  TakeSample(&meter, false, seconds(2), now + milliseconds(800));
  TakeSample(&meter, true, seconds(2), now + milliseconds(1600));
  EXPECT_EQ(DrainRate(meter), 100000);
  TakeSample(&meter, false, seconds(2), now + seconds(3));
  TakeSample(&meter, false, seconds(2), now + seconds(14));
  EXPECT_EQ(DrainRate(meter), 0);
}

AdmissionQuery QueryFor(const std::string& job) {
  AdmissionQuery query;
  query.m_job = job;
  query.m_queue = NameHash("quotes");
  query.m_cpu_demand = 20000;
  query.m_on_time_wait = seconds(1);
  query.m_longest_wait = seconds(5);
  return query;
}

// Callers that return together would be refused together again.
TEST(RefusalBookTest, CallersReturnInTheOrderOfTheirRefusals) {
  RefusalBook book;
  const LoadSummary load = LoadWith(seconds(8));
  seconds last(0);
  for (int i = 0; i < 100; ++i) {
    const AdmissionAnswer answer = AnswerAdmission(
        &book, load, Duration::zero(), QueryFor(std::to_string(i)), kNow);
    ASSERT_TRUE(answer.m_is_refused);
    EXPECT_GE(answer.m_retry_after, last);
    // The work of those before it takes 0.2 s each; one second of spread, and
    // up to one from counting in seconds.
    const milliseconds drained = seconds(8) + i * milliseconds(200);
    EXPECT_GE(answer.m_retry_after, drained);
    EXPECT_LE(answer.m_retry_after, drained + seconds(2));
    last = answer.m_retry_after;
  }
}

TEST(RefusalBookTest, RefusedJobGetsInAtItsTurnWhateverTheLoad) {
  RefusalBook book;
  const AdmissionAnswer first = AnswerAdmission(
      &book, LoadWith(seconds(8)), Duration::zero(), QueryFor("a"), kNow);
  const LoadSummary heavier = LoadWith(seconds(60));
  const TimePoint early = kNow + seconds(3);
  const AdmissionAnswer again =
      AnswerAdmission(&book, heavier, Duration::zero(), QueryFor("a"), early);
  EXPECT_TRUE(again.m_is_refused);
  EXPECT_EQ(again.m_retry_after, first.m_retry_after - seconds(3));
  EXPECT_FALSE(AnswerAdmission(&book, heavier, Duration::zero(), QueryFor("a"),
                               kNow + first.m_retry_after)
                   .m_is_refused);
  // Its caller may have to repeat the call, if the job could not be stored.
  EXPECT_FALSE(AnswerAdmission(&book, heavier, Duration::zero(), QueryFor("a"),
                               kNow + first.m_retry_after + seconds(30))
                   .m_is_refused);
  AverageAdmittedWork(&book, milliseconds(800));
  LoadSummary later = LoadWith(seconds(0));
  AddPromisedWork(book, &later);
  EXPECT_EQ(ExpectedWait(later.m_queues[0], false), seconds(0));
}

// Between two measurements, a burst was admitted whole by the last one, and
// most of it ended too late.
TEST(RefusalBookTest, BurstBetweenTwoMeasurementsIsAdmittedAsFarAsItFits) {
  RefusalBook book;
  const LoadSummary load = LoadWith(seconds(4));
  int admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += AnswerAdmission(&book, load, milliseconds(500),
                                QueryFor(std::to_string(i)), kNow)
                        .m_is_refused
                    ? 0
                    : 1;
  }
  // 1.5 s until the longest wait, at 0.2 s of work in each job; the last one
  // admitted begins within it.
  EXPECT_EQ(admitted, 8);
  AverageAdmittedWork(&book, milliseconds(800));
  EXPECT_TRUE(
      AnswerAdmission(&book, load, milliseconds(500), QueryFor("later"), kNow)
          .m_is_refused);
}

// In a lasting overload, later jobs went ahead of those that had missed their
// objective: in a trial, 285 of them waited at 12 jobs per second.
TEST(RefusalBookTest, LateJobsWaitForLaterOnesWhileManyAreAdmitted) {
  RefusalBook book;
  const LoadSummary busy = LoadWith(seconds(2));
  for (int second = 0; second < 20; ++second) {
    for (int i = 0; i < 5; ++i) {
      AnswerAdmission(&book, LoadWith(seconds(0)), Duration::zero(),
                      QueryFor(std::to_string(second * 5 + i)), kNow);
    }
    AverageAdmittedWork(&book, seconds(1));
  }
  // All of the drain rate goes to jobs that are admitted now.
  EXPECT_TRUE(
      AnswerAdmission(&book, busy, Duration::zero(), QueryFor("a"), kNow)
          .m_is_refused);
  for (int second = 0; second < 10; ++second) {
    AverageAdmittedWork(&book, seconds(1));
  }
  EXPECT_FALSE(
      AnswerAdmission(&book, busy, Duration::zero(), QueryFor("b"), kNow)
          .m_is_refused);
}

// New callers took the room for which refused ones had been told to wait.
TEST(RefusalBookTest, WorkOfRefusedJobsCountsAsBacklogUntilTheyAreOverdue) {
  RefusalBook book;
  LoadSummary load = LoadWith(seconds(8));
  for (int i = 0; i < 40; ++i) {
    AnswerAdmission(&book, load, Duration::zero(), QueryFor(std::to_string(i)),
                    kNow);
  }
  LoadSummary later = LoadWith(seconds(0));
  AddPromisedWork(book, &later);
  EXPECT_EQ(ExpectedWait(later.m_queues[0], false), seconds(8));
  DropLapsedPromises(&book, kNow + seconds(60));
  later = LoadWith(seconds(0));
  AddPromisedWork(book, &later);
  EXPECT_EQ(ExpectedWait(later.m_queues[0], false), seconds(0));
}

// A repeat of a job that the owner had not read yet was refused.
TEST(RefusalBookTest, StoredJobIsKnownFromAReadToTheEndOnly) {
  KeyedSlice slice;
  slice.m_next = slice.m_end = 8;
  slice.m_records = {{"a", "x"}, {"b/cancel", "1"}};
  EXPECT_FALSE(IsCertainlyNotStored(slice, "a"));
  EXPECT_TRUE(IsCertainlyNotStored(slice, "b"));
  slice.m_end = 9;
  EXPECT_FALSE(IsCertainlyNotStored(slice, "b"));
  slice.m_end = 8;
  slice.m_gap = true;
  EXPECT_FALSE(IsCertainlyNotStored(slice, "b"));
  EXPECT_FALSE(
      IsCertainlyNotStored(Fail(ErrorCode::kTimeout, "no answer"), "b"));
}

OwnerRecord LargestOwner() {
  OwnerRecord owner;
  owner.m_epoch = owner.m_renewals = 1000000;
  owner.m_node = std::string(20, 'n');
  owner.m_process = std::string(20, '9');
  owner.m_address = "255.255.255.255:65535";
  owner.m_cpu_capacity = owner.m_max_cpu_capacity = 0.069;
  return owner;
}

// All nodes read each renewal, about one a second.
TEST(OwnerRecordTest, RenewalWithLoadStaysSmallAndKeepsTheLongestWaits) {
  LoadSummary load = LoadWith(seconds(1));
  for (int i = 2; i <= 20; ++i) {
    load.m_queues.push_back(LoadWith(seconds(i)).m_queues[0]);
    load.m_queues.back().m_free = {128000, 512000, 8};
    load.m_tenants_over_share.push_back(NameHash(std::to_string(i)));
  }
  OwnerRecord owner = LargestOwner();
  AttachLoad(load, &owner);
  const std::string bytes = EncodeOwner(owner);
  EXPECT_LT(bytes.size(), kMaxRenewalBytes);
  const Result<OwnerRecord> decoded = DecodeOwner(bytes);
  ASSERT_TRUE(decoded);
  ASSERT_TRUE(decoded.value().m_load);
  EXPECT_GE(decoded.value().m_load->m_queues.size(), 3U);
  EXPECT_EQ(ExpectedWait(decoded.value().m_load->m_queues[0], false),
            seconds(20));
  EXPECT_EQ(decoded.value().m_address, owner.m_address);
}

// Nodes of earlier builds, and those without admission control, write records
// without a summary.
TEST(OwnerRecordTest, RecordWithoutLoadIsDecoded) {
  const Result<OwnerRecord> decoded = DecodeOwner(EncodeOwner(LargestOwner()));
  ASSERT_TRUE(decoded);
  EXPECT_FALSE(decoded.value().m_load);
  EXPECT_EQ(decoded.value().m_node, LargestOwner().m_node);
  EXPECT_FALSE(DecodeOwner("nonsense"));
}

}  // namespace
}  // namespace hyssopspar::jobs
