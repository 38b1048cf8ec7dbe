#include "node/job_appender.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <set>

#include "hyssopspar/http_server.h"
#include "hyssopspar/logging.h"
#include "hyssopspar/store/record_batch.h"
#include "node/request_deadline.h"

namespace hyssopspar::node {
namespace {

/// Log that answers every append with the answer set by the test, at once or
/// when the test asks for it. Reads are never answered.
class ScriptedLog : public KeyedLog {
 public:
  void Append(const Partition& /*partition*/,
              const std::vector<KeyedRecord>& records,
              const AppendGuard& /*guard*/,
              TimePoint /*deadline*/,
              std::function<void(Result<Offset>)> done) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_append_sizes.push_back(records.size());
    m_append_bytes.push_back(BytesOf(records));
    const bool refused = std::any_of(
        records.begin(), records.end(), [this](const KeyedRecord& record) {
          return m_refused_keys.count(record.m_key) > 0;
        });
    if (refused && !m_defer_answers) {
      lock.unlock();
      done(Fail(ErrorCode::kInvalidArgument, "record refused"));
      return;
    }
    if (m_defer_answers) {
      m_deferred.push_back(std::move(done));
      m_changed.notify_all();
      return;
    }
    const Result<Offset> answer = m_answer;
    lock.unlock();
    done(answer);
  }
  void Read(const Partition& /*partition*/,
            Offset /*from*/,
            milliseconds /*wait*/,
            TimePoint /*deadline*/,
            std::function<void(Result<KeyedSlice>)> /*done*/) override {}
  void Newest(const Partition& /*partition*/,
              const std::string& /*after_key*/,
              TimePoint /*deadline*/,
              std::function<void(Result<KeyedPage>)> /*done*/) override {}

  void SetAnswer(const Result<Offset>& answer) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_answer = answer;
  }

  /// Leaves appends unanswered until AnswerDeferred.
  void DeferAnswers() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_defer_answers = true;
  }

  /// Refuses appends with the record \p key.
  void RefuseKey(const std::string& key) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_refused_keys.insert(key);
  }

  /// Bytes of each append so far.
  std::vector<std::size_t> AppendBytes() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_append_bytes;
  }

  /// Number of records of each append so far.
  std::vector<std::size_t> AppendSizes() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_append_sizes;
  }

  /// Waits until an append is unanswered.
  void WaitForDeferred() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_deferred.empty(); });
  }

  /// Answers the unanswered appends, and from then on all appends at once.
  void AnswerDeferred(const Result<Offset>& answer) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_defer_answers = false;
    m_answer = answer;
    std::vector<std::function<void(Result<Offset>)>> deferred =
        std::move(m_deferred);
    lock.unlock();
    for (const std::function<void(Result<Offset>)>& done : deferred) {
      done(answer);
    }
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_defer_answers = false;
  Result<Offset> m_answer = Offset{1};
  std::set<std::string> m_refused_keys;
  std::vector<std::size_t> m_append_sizes;
  std::vector<std::size_t> m_append_bytes;
  std::vector<std::function<void(Result<Offset>)>> m_deferred;
};

class JobAppenderTest : public testing::Test {
 protected:
  JobAppenderTest()
      : m_loop(100),
        m_peers({}, &m_loop),
        m_appender(&m_log, &m_loop, {"jobs", 0}, &m_peers, StoreLimits{}, [] {
          return std::string();
        }) {
    SetLogLevel("off");
  }

  ~JobAppenderTest() override {
    m_peers.Stop();
    m_loop.Stop();
  }

  void Store(const std::string& key,
             milliseconds timeout,
             std::size_t bytes = 5) {
    m_loop.Post([this, key, timeout, bytes] {
      m_appender.Store({key, std::string(bytes, 'v')}, Clock::now() + timeout,
                       [this, key](StoreOutcome outcome) {
                         std::lock_guard<std::mutex> lock(m_mutex);
                         m_outcomes[key] = outcome;
                         m_changed.notify_all();
                       });
    });
  }

  void StoreForPeer(const std::string& key,
                    milliseconds timeout = std::chrono::seconds(3)) {
    m_loop.Post([this, key, timeout] {
      m_appender.StoreForPeer({{key, "value"}}, Clock::now() + timeout,
                              [this, key](const Result<Offset>& end) {
                                std::lock_guard<std::mutex> lock(m_mutex);
                                m_outcomes[key] =
                                    end ? StoreOutcome::kStored
                                    : end.error().m_code ==
                                            ErrorCode::kInvalidArgument
                                        ? StoreOutcome::kRefused
                                    : CertainlyHadNoEffect(end.error().m_code)
                                        ? StoreOutcome::kNotStored
                                        : StoreOutcome::kUnknown;
                                m_changed.notify_all();
                              });
    });
  }

  /// Returns once every event posted so far has run.
  void WaitForLoop() {
    std::promise<void> ran;
    m_loop.Post([&ran] { ran.set_value(); });
    ran.get_future().wait();
  }

  /// Waits for the outcome of the record with \p key.
  StoreOutcome WaitFor(const std::string& key) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [&] { return m_outcomes.count(key) > 0; });
    return m_outcomes[key];
  }

  ScriptedLog m_log;
  DecisionLoop m_loop;
  PeerStore m_peers;
  JobAppender m_appender;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, StoreOutcome> m_outcomes;
};

constexpr milliseconds kRequestTimeout{3000};

TEST_F(JobAppenderTest, ReportsStoredWhenTheStoreAccepts) {
  Store("a", kRequestTimeout);
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
}

TEST_F(JobAppenderTest, CombinesWaitingRequestsIntoOneAppend) {
  m_log.DeferAnswers();
  Store("a", kRequestTimeout);
  m_log.WaitForDeferred();
  Store("b", kRequestTimeout);
  Store("c", kRequestTimeout);
  // The loop runs events in order: after WaitForLoop all three are waiting.
  Store("d", kRequestTimeout);
  WaitForLoop();
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("d"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.AppendSizes(), testing::ElementsAre(1, 3));
}

TEST_F(JobAppenderTest, CombinesWaitingPeerRecordsIntoOneAppend) {
  m_log.DeferAnswers();
  StoreForPeer("a");
  m_log.WaitForDeferred();
  StoreForPeer("b");
  StoreForPeer("c");
  WaitForLoop();
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("c"), StoreOutcome::kStored);
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.AppendSizes(), testing::ElementsAre(1, 2));
}

// A request that the store refuses was sent again until its deadline, with all
// requests that shared its append.
TEST_F(JobAppenderTest, RefusedRequestDoesNotHoldUpTheOthers) {
  m_log.RefuseKey("b");
  m_log.DeferAnswers();
  Store("first", kRequestTimeout);
  m_log.WaitForDeferred();
  for (const std::string key : {"a", "b", "c"}) {
    Store(key, kRequestTimeout);
  }
  WaitForLoop();
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kRefused);
  EXPECT_EQ(WaitFor("c"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.AppendSizes(), testing::ElementsAre(1, 3, 1, 1, 1));
}

// Same for records that other nodes relay.
TEST_F(JobAppenderTest, RefusedPeerRecordDoesNotHoldUpTheOthers) {
  m_log.RefuseKey("b");
  m_log.DeferAnswers();
  StoreForPeer("first");
  m_log.WaitForDeferred();
  for (const std::string key : {"a", "b", "c"}) {
    StoreForPeer(key);
  }
  WaitForLoop();
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kRefused);
  EXPECT_EQ(WaitFor("c"), StoreOutcome::kStored);
}

// One refused request made the node believe that it can't reach the store:
// it turned relayed records away and sent its own by way of other nodes.
TEST_F(JobAppenderTest, RefusedRequestIsNoOutageOfTheStore) {
  m_log.RefuseKey("b");
  Store("b", kRequestTimeout);
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kRefused);
  StoreForPeer("a");
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
}

// Many large requests made an append that the store refuses.
TEST_F(JobAppenderTest, AppendsStayBelowTheLimitOfTheStore) {
  m_log.DeferAnswers();
  Store("first", kRequestTimeout);
  m_log.WaitForDeferred();
  for (int i = 0; i < 20; ++i) {
    Store("large" + std::to_string(i), kRequestTimeout, 200000);
  }
  WaitForLoop();
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("large19"), StoreOutcome::kStored);
  for (const std::size_t bytes : m_log.AppendBytes()) {
    EXPECT_LE(bytes, StoreLimits().m_max_batch_bytes);
  }
}

TEST_F(JobAppenderTest, ReportsNotStoredAfterRefusalAndUnknownAfterTimeout) {
  m_log.SetAnswer(Fail(ErrorCode::kUnavailable, "unreachable"));
  Store("refused", milliseconds(350));
  EXPECT_EQ(WaitFor("refused"), StoreOutcome::kNotStored);
  m_log.SetAnswer(Fail(ErrorCode::kTimeout, "no answer"));
  Store("lost", milliseconds(350));
  EXPECT_EQ(WaitFor("lost"), StoreOutcome::kUnknown);
}

TEST_F(JobAppenderTest, ReportsUnknownWhenTheConnectionIsLost) {
  m_log.DeferAnswers();
  Store("a", milliseconds(400));
  m_log.WaitForDeferred();
  m_log.AnswerDeferred(Fail(ErrorCode::kConnectionLost, "reset"));
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kUnknown);
}

// A request that had waited past its deadline for the loop was stored late, and
// its caller, who had gone, did not learn of it.
TEST_F(JobAppenderTest, RequestPastItsDeadlineIsNotSent) {
  Store("a", milliseconds(-1));
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kNotStored);
  EXPECT_TRUE(m_log.AppendSizes().empty());
}

// While the store was slow, a request waited past its deadline behind the
// append in flight.
TEST_F(JobAppenderTest, WaitingRequestIsAnsweredBeforeItsDeadline) {
  m_log.DeferAnswers();
  Store("a", kRequestTimeout);
  m_log.WaitForDeferred();
  Store("b", milliseconds(350));
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kNotStored);
  // The append of "a" has taken so long that the store counts as slow.
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
  m_log.DeferAnswers();
  Store("c", kRequestTimeout);
  m_log.WaitForDeferred();
  Store("d", milliseconds(400));
  EXPECT_EQ(WaitFor("d"), StoreOutcome::kNotStored);
  m_log.AnswerDeferred(Offset{1});
  EXPECT_THAT(m_log.AppendSizes(), testing::ElementsAre(1, 1));
}

// Records that waited at the relaying node were neither sent nor refused before
// the sender's deadline, so that their callers got 504.
TEST_F(JobAppenderTest, WaitingPeerRecordIsRefusedBeforeItsDeadline) {
  m_log.DeferAnswers();
  StoreForPeer("a");
  m_log.WaitForDeferred();
  StoreForPeer("b", milliseconds(300));
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kNotStored);
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.AppendSizes(), testing::ElementsAre(1));
}

// Requests that waited when their node stopped got no answer.
TEST_F(JobAppenderTest, StopAnswersRequestsThatAreNotSent) {
  m_log.DeferAnswers();
  Store("sent", kRequestTimeout);
  m_log.WaitForDeferred();
  Store("waiting", kRequestTimeout);
  m_loop.Post([this] { m_appender.Stop(); });
  EXPECT_EQ(WaitFor("waiting"), StoreOutcome::kNotStored);
  Store("later", kRequestTimeout);
  EXPECT_EQ(WaitFor("later"), StoreOutcome::kNotStored);
  m_log.AnswerDeferred(Offset{1});
  EXPECT_EQ(WaitFor("sent"), StoreOutcome::kStored);
}

// An answer that names a condition which does not hold counted as unknown.
TEST_F(JobAppenderTest, ReportsNotStoredWhenTheStoreAnswersThatItIsNot) {
  for (const ErrorCode code :
       {ErrorCode::kNotFound, ErrorCode::kConflict, ErrorCode::kFenced}) {
    m_log.SetAnswer(Fail(code, "not appended"));
    const std::string key(ToString(code));
    Store(key, milliseconds(350));
    EXPECT_EQ(WaitFor(key), StoreOutcome::kNotStored) << key;
  }
}

// Without its sender's timeout, a relaying node can't refuse in time.
TEST_F(JobAppenderTest, RelayedRecordsCarryATimeoutBelowTheSenders) {
  std::promise<HttpRequest> received;
  HttpServer server(
      [&received](const HttpRequest& request, const HttpReply& reply) {
        received.set_value(request);
        reply(JsonResponse(200, "{}"));
      },
      HttpServerLimits(), 1);
  ASSERT_TRUE(server.Start("127.0.0.1:0"));
  std::promise<bool> stored;
  m_loop.Post([&] {
    m_peers.Append("127.0.0.1:" + std::to_string(server.Port()), {{"a", "v"}},
                   Clock::now() + kRequestTimeout,
                   [&stored](const Result<Offset>& end) {
                     stored.set_value(end.has_value());
                   });
  });
  EXPECT_TRUE(stored.get_future().get());
  const std::optional<milliseconds> timeout =
      TimeoutOf(received.get_future().get());
  ASSERT_TRUE(timeout);
  EXPECT_LT(*timeout, kRequestTimeout);
  server.Stop();
}

TEST_F(JobAppenderTest, DecodesEncodedRecordsAndRejectsOtherBytes) {
  const std::vector<KeyedRecord> records = {{"key", std::string("\0\xff", 2)},
                                            {"k2", std::string("v")}};
  const Result<std::vector<KeyedRecord>> decoded =
      DecodeRecords(EncodeRecords(records));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value()[0].m_value, records[0].m_value);
  EXPECT_EQ(decoded.value()[1].m_key, "k2");
  EXPECT_FALSE(DecodeRecords("nonsense"));
  EXPECT_FALSE(DecodeRecords("\x81\x01"));
}

}  // namespace
}  // namespace hyssopspar::node
