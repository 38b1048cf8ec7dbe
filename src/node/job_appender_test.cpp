#include "node/job_appender.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <condition_variable>
#include <future>
#include <map>
#include <mutex>

#include "hyssopspar/logging.h"
#include "hyssopspar/store/record_batch.h"

namespace hyssopspar::node {
namespace {

/// Answers every append at once with what the test says.
class ScriptedLog : public KeyedLog {
 public:
  void Append(const Partition& /*partition*/,
              const std::vector<KeyedRecord>& records,
              const AppendGuard& /*guard*/,
              TimePoint /*deadline*/,
              std::function<void(Result<Offset>)> done) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_batches.push_back(records.size());
    if (m_hold) {
      m_held.push_back(std::move(done));
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

  void Hold() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_hold = true;
  }

  std::vector<std::size_t> Batches() {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_batches;
  }

  void WaitForHeld() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_held.empty(); });
  }

  void AnswerHeld(const Result<Offset>& answer) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_hold = false;
    m_answer = answer;
    std::vector<std::function<void(Result<Offset>)>> held = std::move(m_held);
    lock.unlock();
    for (const std::function<void(Result<Offset>)>& done : held) {
      done(answer);
    }
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_hold = false;
  Result<Offset> m_answer = Offset{1};
  std::vector<std::size_t> m_batches;
  std::vector<std::function<void(Result<Offset>)>> m_held;
};

class JobAppenderTest : public testing::Test {
 protected:
  JobAppenderTest()
      : m_loop(100),
        m_peers({}, &m_loop),
        m_appender(&m_log, &m_loop, {"jobs", 0}, &m_peers, [] {
          return std::string();
        }) {
    SetLogLevel("off");
  }

  ~JobAppenderTest() override {
    m_peers.Stop();
    m_loop.Stop();
  }

  void Store(const std::string& key, milliseconds patience) {
    m_loop.Post([this, key, patience] {
      m_appender.Store({key, "value"}, Clock::now() + patience,
                       [this, key](StoreOutcome outcome) {
                         std::lock_guard<std::mutex> lock(m_mutex);
                         m_outcomes[key] = outcome;
                         m_changed.notify_all();
                       });
    });
  }

  void StoreForPeer(const std::string& key) {
    m_loop.Post([this, key] {
      m_appender.StoreForPeer(
          {{key, "value"}}, [this, key](const Result<Offset>& end) {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_outcomes[key] =
                end ? StoreOutcome::kStored : StoreOutcome::kUnknown;
            m_changed.notify_all();
          });
    });
  }

  /// Returns once everything that was posted so far has run.
  void WaitForLoop() {
    std::promise<void> ran;
    m_loop.Post([&ran] { ran.set_value(); });
    ran.get_future().wait();
  }

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

constexpr milliseconds kPatience{3000};

TEST_F(JobAppenderTest, StoresWhatTheStoreTakes) {
  Store("a", kPatience);
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kStored);
}

TEST_F(JobAppenderTest, SendsWhatWaitsTogether) {
  m_log.Hold();
  Store("a", kPatience);
  m_log.WaitForHeld();
  Store("b", kPatience);
  Store("c", kPatience);
  // The loop runs in order: once this has run, both are waiting.
  Store("d", kPatience);
  WaitForLoop();
  m_log.AnswerHeld(Offset{1});
  EXPECT_EQ(WaitFor("d"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.Batches(), testing::ElementsAre(1, 3));
}

TEST_F(JobAppenderTest, RecordsOfPeersShareAnAppend) {
  m_log.Hold();
  StoreForPeer("a");
  m_log.WaitForHeld();
  StoreForPeer("b");
  StoreForPeer("c");
  WaitForLoop();
  m_log.AnswerHeld(Offset{1});
  EXPECT_EQ(WaitFor("c"), StoreOutcome::kStored);
  EXPECT_EQ(WaitFor("b"), StoreOutcome::kStored);
  EXPECT_THAT(m_log.Batches(), testing::ElementsAre(1, 2));
}

TEST_F(JobAppenderTest, SaysNotStoredOnlyWhenNothingWasSent) {
  m_log.SetAnswer(Fail(ErrorCode::kUnavailable, "away"));
  Store("refused", milliseconds(350));
  EXPECT_EQ(WaitFor("refused"), StoreOutcome::kNotStored);
  m_log.SetAnswer(Fail(ErrorCode::kTimeout, "no answer"));
  Store("lost", milliseconds(350));
  EXPECT_EQ(WaitFor("lost"), StoreOutcome::kUnknown);
}

TEST_F(JobAppenderTest, AnUnknownOutcomeStaysUnknown) {
  m_log.Hold();
  Store("a", milliseconds(400));
  m_log.WaitForHeld();
  m_log.AnswerHeld(Fail(ErrorCode::kConnectionLost, "reset"));
  EXPECT_EQ(WaitFor("a"), StoreOutcome::kUnknown);
}

TEST_F(JobAppenderTest, RecordsForPeersSurviveTheWire) {
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
