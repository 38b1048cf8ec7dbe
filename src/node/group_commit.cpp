#include "node/group_commit.h"

#include <utility>

namespace hyssopspar::node {

namespace {

/// Limit of one append: callers wait for at most two.
constexpr milliseconds kAppendLimit{1500};
/// Records that wait for the next append; more are refused.
constexpr std::size_t kMostWaiting = 512;

}  // namespace

GroupCommit::GroupCommit(KeyedLog* log, DecisionLoop* loop, Partition partition)
    : m_log(log), m_loop(loop), m_partition(std::move(partition)) {}

void GroupCommit::Append(const std::vector<KeyedRecord>& records, Done done) {
  if (m_waiting.size() + records.size() > kMostWaiting) {
    done(Fail(ErrorCode::kUnavailable, "too many records wait"));
    return;
  }
  m_waiting.insert(m_waiting.end(), records.begin(), records.end());
  m_waiting_done.push_back(std::move(done));
  if (!m_in_flight) {
    SendNext();
  }
}

void GroupCommit::SendNext() {
  if (m_waiting.empty()) {
    return;
  }
  m_in_flight = true;
  m_log->Append(
      m_partition, std::exchange(m_waiting, {}), AppendGuard(),
      Clock::now() + kAppendLimit,
      [this, done = std::exchange(m_waiting_done, {})](Result<Offset> end) {
        m_loop->Post([this, done, end = std::move(end)] {
          m_in_flight = false;
          for (const Done& each : done) {
            each(end);
          }
          SendNext();
        });
      });
}

}  // namespace hyssopspar::node
