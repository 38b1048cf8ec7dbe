/// \file
/// Nodes without workers that share a store, for tests of CellHost.

#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "hyssopspar/jobs/records.h"
#include "hyssopspar/logging.h"
#include "node/cell_host.h"

namespace hyssopspar::node {

/// Store that several nodes share. All calls on the loop's thread.
class SharedStore {
 public:
  explicit SharedStore(DecisionLoop* loop) : m_loop(loop) {}

  std::vector<KeyedRecord>& Records(const Partition& partition) {
    return m_streams[partition.m_stream];
  }

  Result<Offset> Append(const Partition& partition,
                        const std::vector<KeyedRecord>& records,
                        const AppendGuard& guard) {
    std::vector<KeyedRecord>& stream = Records(partition);
    if (guard.m_expected_end && *guard.m_expected_end != stream.size()) {
      return Fail(ErrorCode::kConflict, "another end");
    }
    std::uint64_t& epoch = m_epochs[partition.m_stream];
    if (!guard.m_writer.empty() && guard.m_epoch < epoch) {
      return Fail(ErrorCode::kFenced, "older epoch");
    }
    epoch = std::max(epoch, guard.m_epoch);
    stream.insert(stream.end(), records.begin(), records.end());
    return Offset{stream.size()};
  }

  DecisionLoop* Loop() const { return m_loop; }

 private:
  DecisionLoop* m_loop;
  std::map<std::string, std::vector<KeyedRecord>> m_streams;
  std::map<std::string, std::uint64_t> m_epochs;
};

/// One node's path to the store, which can be cut.
class NodeLog : public KeyedLog {
 public:
  explicit NodeLog(SharedStore* store) : m_store(store) {}

  void Append(const Partition& partition,
              const std::vector<KeyedRecord>& records,
              const AppendGuard& guard,
              TimePoint /*deadline*/,
              std::function<void(Result<Offset>)> done) override {
    Result<Offset> answer = Refusal();
    const auto refusals = m_refusals.find(partition.m_stream);
    if (!records.empty() && refusals != m_refusals.end() &&
        refusals->second > 0) {
      --refusals->second;
      ++m_refused_appends;
      answer = Fail(ErrorCode::kInvalidArgument, "record refused");
    } else if (m_reachable) {
      answer = m_store->Append(partition, records, guard);
    }
    m_store->Loop()->Post([done, answer] { done(answer); });
  }

  void Read(const Partition& partition,
            Offset from,
            milliseconds wait,
            TimePoint /*deadline*/,
            std::function<void(Result<KeyedSlice>)> done) override {
    const std::vector<KeyedRecord>& stream = m_store->Records(partition);
    if (m_reachable && stream.size() <= from && wait > milliseconds(0)) {
      // Polls in place of the store's wait for the next record.
      m_store->Loop()->PostAt(
          Clock::now() + milliseconds(5), [this, partition, from, wait, done] {
            Read(partition, from, wait - milliseconds(5), TimePoint(), done);
          });
      return;
    }
    Result<KeyedSlice> answer = Fail(ErrorCode::kUnavailable, "refused");
    if (m_reachable) {
      KeyedSlice slice;
      slice.m_end = stream.size();
      slice.m_next = stream.size();
      slice.m_records.assign(
          stream.begin() + static_cast<std::ptrdiff_t>(
                               std::min<std::size_t>(from, stream.size())),
          stream.end());
      answer = slice;
    }
    m_store->Loop()->Post([done, answer] { done(answer); });
  }

  void Newest(const Partition& partition,
              const std::string& /*after_key*/,
              TimePoint /*deadline*/,
              std::function<void(Result<KeyedPage>)> done) override {
    Result<KeyedPage> answer = Fail(ErrorCode::kUnavailable, "refused");
    if (m_reachable) {
      const std::vector<KeyedRecord>& stream = m_store->Records(partition);
      std::map<std::string, std::string> newest;
      for (const KeyedRecord& record : stream) {
        newest[record.m_key] = record.m_value.value_or("");
      }
      KeyedPage page;
      page.m_end = stream.size();
      for (const auto& entry : newest) {
        page.m_records.push_back({entry.first, entry.second});
      }
      answer = page;
    }
    m_store->Loop()->Post([done, answer] { done(answer); });
  }

  void SetReachable(bool reachable) { m_reachable = reachable; }

  /// Lets the next \p count appends of records to the stream be refused.
  void RefuseAppends(const std::string& stream, int count) {
    m_refusals[stream] = count;
  }
  int RefusedAppends() const { return m_refused_appends; }

 private:
  static Result<Offset> Refusal() {
    return Fail(ErrorCode::kUnavailable, "refused");
  }

  SharedStore* m_store;
  bool m_reachable = true;
  std::map<std::string, int> m_refusals;  ///< Still to come, by stream.
  int m_refused_appends = 0;
};

/// Platform without workers and adviser. Every operator record is a
/// configuration.
class FakePlatform : public jobs::PlatformAdapter,
                     public jobs::WorkerPort,
                     public jobs::AdvicePort {
 public:
  explicit FakePlatform(SharedStore* store) : m_log(store) {}

  NodeLog& Log() override { return m_log; }
  jobs::WorkerPort& Workers() override { return *this; }
  jobs::AdvicePort& Adviser() override { return *this; }
  Partition OperatorRecords() const override { return {"operators", 0}; }
  Partition WorkerRecords() const override { return {"workers", 0}; }
  Result<jobs::OperatorChange> DecodeOperator(
      const KeyedRecord& /*record*/) const override {
    return jobs::OperatorChange(jobs::SiteConfig());
  }
  Result<jobs::WorkerEntry> DecodeWorker(
      const KeyedRecord& /*record*/) const override {
    return Fail(ErrorCode::kMalformed, "no workers");
  }
  Result<jobs::JobPlan> DecodeJob(const std::string& /*body*/) const override {
    return Fail(ErrorCode::kMalformed, "no jobs");
  }
  std::string EncodeState(jobs::JobState /*state*/) const override {
    return "";
  }
  std::string EncodePending(std::size_t /*jobs*/) const override { return ""; }
  void Stop() override {}

  void Start(const jobs::WorkerTarget& /*worker*/,
             const jobs::StartOrder& /*order*/,
             TimePoint /*deadline*/,
             std::function<void(Result<jobs::StartReply>)> /*done*/) override {}
  void Stop(const jobs::WorkerTarget& /*worker*/,
            const jobs::StopOrder& /*order*/,
            TimePoint /*deadline*/,
            std::function<void(Result<void>)> /*done*/) override {}
  void Throttle(const jobs::WorkerTarget& /*worker*/,
                const jobs::ThrottleOrder& /*order*/,
                TimePoint /*deadline*/,
                std::function<void(Result<void>)> /*done*/) override {}
  void ExchangeHeartbeat(
      const jobs::WorkerTarget& /*worker*/,
      const jobs::HeartbeatRequest& /*request*/,
      TimePoint /*deadline*/,
      std::function<void(Result<jobs::HeartbeatReport>)> /*done*/) override {}
  void Ask(
      const jobs::StepName& /*step*/,
      const std::vector<std::string>& /*workers*/,
      TimePoint /*deadline*/,
      std::function<void(Result<jobs::TicketsByWorker>)> /*done*/) override {}

 private:
  NodeLog m_log;
};

/// Asks the other node in the same process.
class DirectHandover : public HandoverPort {
 public:
  void FindPeer(std::uint64_t epoch,
                std::function<void(const std::string&)> found) override {
    ++m_questions;
    m_peer->CheckStoreForRelease(epoch, [found](bool can_store) {
      if (can_store) {
        found("peer");
      }
    });
  }
  void StoreRelease(const std::string& /*peer*/,
                    const jobs::OwnerRecord& release,
                    std::function<void(Result<void>)> done) override {
    m_peer->StoreReleaseForPeer(release, [done](const Result<Offset>& end) {
      done(end ? Result<void>(Ok()) : Result<void>(end.error()));
    });
  }

  CellHost* m_peer = nullptr;
  int m_questions = 0;
};

inline NodeSettings Settings(const std::string& name,
                             milliseconds renewal_interval) {
  NodeSettings settings;
  settings.m_name = name;
  settings.m_ownership.m_node = name;
  settings.m_ownership.m_process = name + "-1";
  settings.m_ownership.m_min_tenure = milliseconds(0);
  settings.m_ownership.m_renewal_interval = renewal_interval;
  settings.m_cell.m_tombstone_age = milliseconds(0);
  settings.m_cell.m_tombstone_interval = milliseconds(0);
  settings.m_cell.m_measures_load = true;
  return settings;
}

struct Node {
  Node(const std::string& name,
       SharedStore* store,
       milliseconds renewal_interval = milliseconds(50))
      : m_platform(store),
        m_view(&m_platform, store->Loop()),
        m_host(Settings(name, renewal_interval),
               0,
               &m_platform,
               store->Loop(),
               &m_view,
               &m_handover,
               &m_metrics) {
    m_host.SetTakeoverOfferHandler([] {});
  }

  void Start() {
    m_view.Start([this] { m_host.OnOperatorChange(); });
    m_host.Start();
  }

  FakePlatform m_platform;
  Metrics m_metrics;
  OperatorView m_view;
  DirectHandover m_handover;
  CellHost m_host;
};

class CellHostTest : public testing::Test {
 protected:
  CellHostTest() : m_loop(100), m_store(&m_loop) {
    SetLogLevel("off");
    m_store.Records({"operators", 0}).push_back({"config", "x"});
    m_b = std::make_unique<Node>("b", &m_store);
    CreateA(milliseconds(50));
  }

  void CreateA(milliseconds renewal_interval) {
    m_a = std::make_unique<Node>("a", &m_store, renewal_interval);
    m_a->m_handover.m_peer = &m_b->m_host;
    m_b->m_handover.m_peer = &m_a->m_host;
  }

  /// Adds a job that was cancelled before it began.
  void AddCancelledJob(const std::string& id) {
    jobs::Submission job;
    job.m_id = id;
    job.m_plan.m_steps.resize(1);
    m_store.Records({jobs::kJobStream, 0})
        .push_back({id, jobs::EncodeSubmission(job)});
    m_store.Records({jobs::kJobStream, 0})
        .push_back({jobs::CancelKey(id), "1"});
  }

  ~CellHostTest() override {
    m_loop.Stop();
    SetLogLevel("info");
  }

  /// Runs \p read on the loop's thread and returns its result.
  template <class Function>
  auto OnLoop(Function read) -> decltype(read()) {
    std::promise<decltype(read())> result;
    m_loop.Post([&] { result.set_value(read()); });
    return result.get_future().get();
  }

  template <class Function>
  void WaitUntil(Function condition) {
    while (!OnLoop(condition)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  void StartWithOwnerA() {
    OnLoop([this] {
      m_a->Start();
      return true;
    });
    WaitUntil([this] { return m_a->m_host.OwnedCell() != nullptr; });
    OnLoop([this] {
      m_b->Start();
      return true;
    });
    WaitUntil([this] { return m_b->m_host.Owner().m_record.has_value(); });
  }

  std::vector<jobs::OwnerRecord> OwnerRecords() {
    return OnLoop([this] {
      std::vector<jobs::OwnerRecord> owners;
      for (const KeyedRecord& record :
           m_store.Records({jobs::kOwnerStream, 0})) {
        owners.push_back(jobs::DecodeOwner(*record.m_value).value());
      }
      return owners;
    });
  }

  DecisionLoop m_loop;
  SharedStore m_store;
  std::unique_ptr<Node> m_a;
  std::unique_ptr<Node> m_b;
};

}  // namespace hyssopspar::node
