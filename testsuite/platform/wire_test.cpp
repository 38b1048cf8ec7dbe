#include "platform/wire.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>
#include <websocketpp/base64/base64.hpp>

namespace platform {
namespace {

namespace hs = hyssopspar;
namespace jobs = hyssopspar::jobs;

TEST(WireTest, DecodesJobAndIgnoresUnknownFields) {
  const hs::Result<jobs::JobPlan> plan = DecodeJobBody(
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,
          "affinity":"r1-3"},{"count":20,"cpu":2000,"dependsOn":[0],
          "checkpointing":true,"targetMs":18,"fills":true}],"later":1})");
  ASSERT_TRUE(plan);
  ASSERT_EQ(plan.value().m_steps.size(), 2U);
  EXPECT_EQ(plan.value().m_steps[0].m_data_rack, "r1-3");
  EXPECT_EQ(plan.value().m_steps[1].m_depends_on,
            std::vector<std::uint32_t>{0});
  EXPECT_TRUE(plan.value().m_steps[1].m_is_best_effort);
  EXPECT_EQ(plan.value().m_steps[1].m_tail_latency_target,
            hs::milliseconds(18));
}

TEST(WireTest, RejectsInvalidJobs) {
  const std::vector<std::string> bodies = {
      "",
      "[]",
      "{",
      R"({"spec":"x"})",
      R"({"spec":7,"steps":[{"count":1}]})",
      R"({"spec":"x","steps":[]})",
      R"({"spec":"x","steps":[{"count":0}]})",
      R"({"spec":"x","steps":[{"count":-1}]})",
      R"({"spec":"x","steps":[{"count":"4"}]})",
      R"({"spec":"x","steps":[{"count":1e9}]})",
      R"({"spec":"x","steps":[{"count":1,"dependsOn":[0]}]})",
      R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})"};
  for (const std::string& body : bodies) {
    EXPECT_FALSE(DecodeJobBody(body)) << body.substr(0, 80);
  }
}

TEST(WireTest, DecodesWorkerRecordAndRejectsMalformedOnes) {
  const std::string entry =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining",
          "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-2"],
          "born":12,"sequence":4})";
  const hs::Result<jobs::WorkerEntry> worker =
      DecodeWorkerRecord({"i-1", entry});
  ASSERT_TRUE(worker);
  EXPECT_TRUE(worker.value().m_leaving);
  EXPECT_EQ(worker.value().m_rack, "r1-2");
  EXPECT_EQ(worker.value().m_incarnation_unix_ms, 12);
  for (
      const char* bad :
      {"", "\xff\xfe", "[]", "{}", R"({"service":1})",
       R"({"service":"s","address":"a","zone":"z","state":"asleep","capacity":{}})"}) {
    EXPECT_FALSE(DecodeWorkerRecord({"i-1", std::string(bad)})) << bad;
  }
  EXPECT_FALSE(DecodeWorkerRecord({"i-1", std::nullopt}));
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// An entry of the list of workers with further fields in place of \p fields.
std::string WorkerWith(const std::string& fields) {
  return R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)" +
         fields + "}";
}

// An entry of another writer with a number out of range was undefined behaviour
// or wrapped around.
TEST(WireTest, RejectsWorkerRecordsWithNumbersOutOfRange) {
  for (const char* fields :
       {R"("capacity":{"cpu":1},"born":1e300)",
        R"("capacity":{"cpu":1},"born":18446744073709551615)",
        R"("capacity":{"cpu":1},"born":"1")", R"("capacity":{"cpu":1e300})",
        R"("capacity":{"memMb":18446744073709551615})",
        R"("capacity":{"gpu":-1})", R"("capacity":{"cpu":1e16})"}) {
    EXPECT_FALSE(DecodeWorkerRecord({"i-1", WorkerWith(fields)})) << fields;
  }
  EXPECT_TRUE(DecodeWorkerRecord(
      {"i-1", WorkerWith(R"("capacity":{"cpu":1e15},"born":1777102766133)")}));
}

// Processes ended on an entry of another writer that is nested deeply.
TEST(WireTest, SurvivesDeeplyNestedRecords) {
  const std::string deep = Nested(100000);
  EXPECT_FALSE(DecodeWorkerRecord(
      {"i-1", WorkerWith("\"capacity\":" + deep + ",\"labels\":" + deep)}));
  EXPECT_TRUE(DecodeWorkerRecord(
      {"i-1", WorkerWith("\"capacity\":{},\"other\":" + deep)}));
  EXPECT_FALSE(DecodeWorkerRecord({"i-1", deep}));
  EXPECT_FALSE(DecodeWorkerRecord({"i-1", std::string(200000, '[')}));
  EXPECT_FALSE(DecodeJobBody(R"({"spec":"x","steps":)" + deep + "}"));
  EXPECT_FALSE(DecodeHoldAnswer(R"({"clockMs":1,"running":)" + deep +
                                R"(,"ended":[]})"));
  EXPECT_FALSE(DecodeOperatorRecord(
      {"config", R"({"version":7,"routes":[],"limits":)" + deep + "}"}));
  EXPECT_FALSE(DecodeOperatorRecord(
      {"config", R"({"version":7,"routes":[{"name":"r","host":"h",
        "pathPrefix":"/p/","service":"s","advice":)" +
                     deep + "}]}"}));
}

// Ids and addresses become headers, log lines and keys.
TEST(WireTest, RejectsWorkerRecordsWithUnprintableNames) {
  const std::string good = WorkerWith(R"("capacity":{})");
  for (const std::string& id :
       {std::string("i-1\r\nX-Other: 1"), std::string("\xff\xfe"),
        std::string("i 1"), std::string("i/1"), std::string()}) {
    EXPECT_FALSE(DecodeWorkerRecord({id, good})) << id;
  }
  EXPECT_FALSE(DecodeWorkerRecord(
      {"i-1",
       R"({"service":"s","address":"10.0.0.9:80\n","zone":"z","state":"ready",
           "capacity":{}})"}));
}

// A port out of range, or an address without one, must cost nothing but the
// worker's own use: such an address is refused when it is called.
TEST(WireTest, KeepsWorkerRecordsWithOddAddresses) {
  for (const char* address : {"10.0.0.9:70000", "10.0.0.9:0", "here", ":"}) {
    EXPECT_TRUE(DecodeWorkerRecord(
        {"i-1", std::string(R"({"service":"s","zone":"z","state":"ready",
                                "capacity":{},"address":")") +
                    address + "\"}"}))
        << address;
  }
}

TEST(WireTest, RejectsJobsWithNumbersOutOfRange) {
  for (const char* step :
       {R"({"count":4294967297})", R"({"count":1e12})",
        R"({"count":1},{"count":1,"dependsOn":[4294967296]})",
        R"({"count":1},{"count":1,"dependsOn":[1e300]})",
        R"({"count":1,"estimateMs":1e14})",
        R"({"count":1,"antiAffinity":4294967296})"}) {
    EXPECT_FALSE(
        DecodeJobBody(std::string(R"({"spec":"x","steps":[)") + step + "]}"))
        << step;
  }
  // The last of these occurrences would be due after the end of the clock.
  EXPECT_FALSE(DecodeJobBody(
      R"({"spec":"x","steps":[{"count":1}],"startAtMs":1000000000000000,
          "intervalMs":1000000000000000,"repeatCount":50000})"));
}

TEST(WireTest, RejectsHoldAnswersWithNumbersOutOfRange) {
  for (
      const char* body :
      {R"({"clockMs":1e300,"running":[],"ended":[]})",
       R"({"clockMs":1,"born":1e300,"running":[],"ended":[]})",
       R"({"clockMs":1,"running":[["j.0.0.0",-1,"",0]],"ended":[]})",
       R"({"clockMs":1,"running":[["j.0.0.0",1e300,"",0]],"ended":[]})",
       R"({"clockMs":1,"running":[["j.0.0.0",1,"",1e300]],"ended":[]})",
       R"({"clockMs":1,"running":[],"ended":[[-1,"j.0.0.0",1,"done",""]]})",
       R"({"clockMs":1,"running":[],"ended":[[1e300,"j.0.0.0",1,"done",""]]})"}) {
    EXPECT_FALSE(DecodeHoldAnswer(body)) << body;
  }
}

TEST(WireTest, DecodesConfigAndEvacuationRecords) {
  const hs::Result<jobs::OperatorChange> change = DecodeOperatorRecord(
      {"config", std::string(R"({"version":7,"routes":[{"name":"r","host":"h",
        "pathPrefix":"/p/","service":"s","priority":2,"maxAttempts":4,
        "stretch":1.5,"targetLatencyMs":250}],"services":[]})")});
  ASSERT_TRUE(change);
  const auto& config = std::get<jobs::SiteConfig>(change.value());
  EXPECT_EQ(config.m_revision, 7);
  EXPECT_EQ(config.m_queues.at(0).m_policy.m_max_attempts, 4U);
  const hs::Result<jobs::OperatorChange> evacuated =
      DecodeOperatorRecord({"evacuate/z", std::string("{}")});
  EXPECT_TRUE(std::get<jobs::DomainChange>(evacuated.value()).m_out_of_service);
  const hs::Result<jobs::OperatorChange> restored =
      DecodeOperatorRecord({"evacuate/z", std::nullopt});
  EXPECT_FALSE(std::get<jobs::DomainChange>(restored.value()).m_out_of_service);
  EXPECT_FALSE(DecodeOperatorRecord({"config", std::string("{")}));
}

// A limit of attempts that is read as lower than it is would end jobs as
// failed. One that can't be read sets the whole configuration aside instead, so
// that the one before stays in force.
TEST(WireTest, ReadsNoLowerLimitOfAttemptsThanTheConfigurationHas) {
  const std::vector<std::pair<std::string, std::optional<std::uint32_t>>>
      limits = {{R"(,"maxAttempts":3)", 3U},
                {R"(,"maxAttempts":3.0)", 3U},
                {R"(,"maxAttempts":2.5)", 2U},
                {R"(,"maxAttempts":4294967295)", 4294967295U},
                // No page says what these mean; an end as failed ends a job.
                {"", 1U},
                {R"(,"maxAttempts":null)", 1U},
                {R"(,"maxAttempts":0)", 0U},
                {R"(,"maxAttempts":"3")", std::nullopt},
                {R"(,"maxAttempts":true)", std::nullopt},
                {R"(,"maxAttempts":[3])", std::nullopt},
                {R"(,"maxAttempts":-1)", std::nullopt},
                {R"(,"maxAttempts":4294967296)", std::nullopt},
                {R"(,"maxAttempts":1e300)", std::nullopt}};
  for (const auto& limit : limits) {
    const hs::Result<jobs::OperatorChange> change = DecodeOperatorRecord(
        {"config", R"({"version":7,"routes":[{"name":"r","host":"h",
          "pathPrefix":"/p/","service":"s")" +
                       limit.first + "}]}"});
    ASSERT_EQ(change.has_value(), limit.second.has_value()) << limit.first;
    if (change) {
      EXPECT_EQ(std::get<jobs::SiteConfig>(change.value())
                    .m_queues.at(0)
                    .m_policy.m_max_attempts,
                *limit.second)
          << limit.first;
    }
  }
}

// Only the word that PROTOCOL gives for it counts as an attempt.
TEST(WireTest, OnlyFailedIsAnEndAsFailed) {
  for (const char* const how :
       {"done", "stopped", "lapsed", "broken", "alone", "Failed", "failed ",
        "failure", "", "unknown"}) {
    const hs::Result<jobs::HeartbeatReport> report = DecodeHoldAnswer(
        std::string(
            R"({"clockMs":1,"running":[],"ended":[[1,"5c0e.0.1.9",1,")") +
        how + R"(",""]]})");
    ASSERT_TRUE(report) << how;
    EXPECT_NE(report.value().m_ended.at(0).m_cause, jobs::EndCause::kFailed)
        << how;
  }
  const hs::Result<jobs::HeartbeatReport> report = DecodeHoldAnswer(
      R"({"clockMs":1,"running":[],"ended":[[1,"5c0e.0.1.9",1,"failed",""]]})");
  EXPECT_EQ(report.value().m_ended.at(0).m_cause, jobs::EndCause::kFailed);
}

TEST(WireTest, DecodesFramedRecordsAndDetectsGapsAndTruncation) {
  const std::string frames =
      FrameRecords({{"key", std::string("value")}, {"gone", std::nullopt}});
  std::string body(16, '\0');
  body[7] = 9;   // End of the partition.
  body[15] = 5;  // Oldest offset held.
  const hs::Result<hs::KeyedSlice> slice = DecodeSlice(body + frames, 5);
  ASSERT_TRUE(slice);
  EXPECT_EQ(slice.value().m_end, 9U);
  EXPECT_EQ(slice.value().m_next, 7U);
  EXPECT_FALSE(slice.value().m_gap);
  ASSERT_EQ(slice.value().m_records.size(), 2U);
  EXPECT_EQ(slice.value().m_records[0].m_value, "value");
  EXPECT_FALSE(slice.value().m_records[1].m_value.has_value());
  EXPECT_TRUE(DecodeSlice(body + frames, 4).value().m_gap);
  EXPECT_FALSE(DecodeSlice(body + frames.substr(0, frames.size() - 8), 5));
  EXPECT_FALSE(DecodeSlice("short", 5));
}

TEST(WireTest, DecodesPageOfNewestRecords) {
  const hs::Result<hs::KeyedPage> page = DecodePage(
      R"({"items":[{"key":"k","value":")" + websocketpp::base64_encode("v") +
      R"(","offset":4}],"hasMore":true,"end":6})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page.value().m_records.at(0).m_value, "v");
  EXPECT_TRUE(page.value().m_has_more);
  EXPECT_FALSE(DecodePage("{}"));
}

TEST(WireTest, DecodesHoldAnswer) {
  const hs::Result<jobs::HeartbeatReport> report = DecodeHoldAnswer(
      R"({"clockMs":482113,"born":5,"running":[["5c0e.0.1.17",2,"0b",41,7]],
          "ended":[[58,"5c0e.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().m_running.at(0).m_task.m_index, 17U);
  EXPECT_EQ(report.value().m_running.at(0).m_usage, 7);
  EXPECT_EQ(report.value().m_ended.at(0).m_number, 58U);
  EXPECT_EQ(report.value().m_ended.at(0).m_cause, jobs::EndCause::kDone);
  EXPECT_FALSE(DecodeHoldAnswer(R"({"clockMs":1,"running":[[1]],"ended":[]})"));
}

TEST(WireTest, DecodesHoldAnswerWithUnknownFieldsInAnyOrder) {
  const hs::Result<jobs::HeartbeatReport> report = DecodeHoldAnswer(
      R"({"more":{"running":[[1]],"list":[[2,[3]]]},"ended":[],
          "running":[["5c0e.0.1.17",2,"",41.5,7.25,"later"],
                     ["5c0e.0.1.18",3,"",0]],
          "born":null,"clockMs":482113,"last":[true,null,"x"]})");
  ASSERT_TRUE(report);
  EXPECT_EQ(report.value().m_now.time_since_epoch(), hs::milliseconds(482113));
  EXPECT_EQ(report.value().m_incarnation_unix_ms, 0);
  ASSERT_EQ(report.value().m_running.size(), 2U);
  EXPECT_EQ(report.value().m_running[0].m_usage, 7.25);
  EXPECT_EQ(report.value().m_running[1].m_run, 3U);
  EXPECT_EQ(report.value().m_running[1].m_usage, 0);
}

TEST(WireTest, RefusesHoldAnswersOfAnotherForm) {
  for (const char* const body :
       {"", "[]", "7", "nonsense", R"({"clockMs":1,"running":[]})",
        R"({"clockMs":1,"ended":[]})", R"({"running":[],"ended":[]})",
        R"({"clockMs":"1","running":[],"ended":[]})",
        R"({"clockMs":1,"running":7,"ended":[]})",
        R"({"clockMs":1,"running":[{"task":"a"}],"ended":[]})",
        R"({"clockMs":1,"running":[],"ended":[[1,"a.0.0.0",1,"done"]]})",
        R"({"clockMs":1,"running":[],"ended":[[1,2,1,"done",""]]})",
        R"({"clockMs":1,"running":[["a.0.0.0",1,"",0]],"ended":[])"}) {
    EXPECT_FALSE(DecodeHoldAnswer(body)) << body;
  }
}

TEST(WireTest, EncodesStopWithTaskNameOfThePlatform) {
  jobs::StopOrder order;
  order.m_task = {"5c0e7a21d94b36f8", 0, 1, 17};
  order.m_run = 2;
  order.m_epoch = 7;
  EXPECT_EQ(EncodeStop(order),
            R"({"fencingToken":7,"run":2,"task":"5c0e7a21d94b36f8.0.1.17"})");
}

TEST(WireTest, EncodesAdviseRequestAndDecodesTickets) {
  EXPECT_EQ(EncodeAdvise({"5c0e7a21d94b36f8", 0, 1}, {"w1", "w2"}),
            R"({"step":"5c0e7a21d94b36f8.0.1","workers":["w1","w2"]})");
  const hs::Result<jobs::TicketsByWorker> advised =
      DecodeAdviseAnswer(R"({"good":[["w2","ticket"]]})");
  ASSERT_TRUE(advised);
  EXPECT_EQ(advised.value(), (jobs::TicketsByWorker{{"w2", "ticket"}}));
  EXPECT_FALSE(DecodeAdviseAnswer(R"({"good":[["w2"]]})"));
  EXPECT_FALSE(DecodeAdviseAnswer("nonsense"));
}

TEST(WireTest, EncodesTicketInStartAndDecodesTicketRefusal) {
  jobs::StartOrder order;
  EXPECT_EQ(EncodeStart(order).find("ticket"), std::string::npos);
  order.m_ticket = "t-1";
  EXPECT_NE(EncodeStart(order).find(R"("ticket":"t-1")"), std::string::npos);
  const jobs::StartReply reply =
      DecodeStartRefusal(R"({"clockMs":1,"reason":"ticket"})").value();
  EXPECT_EQ(reply.m_answer, jobs::StartAnswer::kNoTicket);
  EXPECT_EQ(reply.m_now, hyssopspar::WorkerTime(hyssopspar::milliseconds(1)));
}

// The clock in the answer to a start shows that the worker has restarted.
TEST(WireTest, DecodesTheClockOfAnAnswer) {
  EXPECT_EQ(DecodeClock(R"({"clockMs":482113})"),
            hyssopspar::WorkerTime(hyssopspar::milliseconds(482113)));
  for (const char* const body :
       {"", "{}", "[1]", R"({"clockMs":"1"})", R"({"clockMs":1e300})"}) {
    EXPECT_FALSE(DecodeClock(body)) << body;
  }
}

}  // namespace
}  // namespace platform
