#include "node/group_commit.h"

#include <utility>

namespace hyssopspar::node {

namespace {

/// Time limit of one append. A caller waits for at most two: the one in flight
/// and the one with its records.
constexpr milliseconds kAppendTimeout{1500};
/// Most records that wait for the next append; further ones are refused.
constexpr std::size_t kMaxWaitingRecords = 512;

}  // namespace

GroupCommit::GroupCommit(KeyedLog* log, DecisionLoop* loop, Partition partition)
    : m_log(log), m_loop(loop), m_partition(std::move(partition)) {}

void GroupCommit::Append(const std::vector<KeyedRecord>& records,
                         Callback done) {
  if (m_waiting_records.size() + records.size() > kMaxWaitingRecords) {
    done(Fail(ErrorCode::kUnavailable, "too many records wait"));
    return;
  }
  m_waiting_records.insert(m_waiting_records.end(), records.begin(),
                           records.end());
  m_waiting_callbacks.push_back(std::move(done));
  if (!m_in_flight) {
    SendNext();
  }
}

void GroupCommit::SendNext() {
  if (m_waiting_records.empty()) {
    return;
  }
  m_in_flight = true;
  m_log->Append(m_partition, std::exchange(m_waiting_records, {}),
                AppendGuard(), Clock::now() + kAppendTimeout,
                [this, callbacks = std::exchange(m_waiting_callbacks, {})](
                    Result<Offset> end) {
                  m_loop->Post([this, callbacks, end = std::move(end)] {
                    m_in_flight = false;
                    for (const Callback& callback : callbacks) {
                      callback(end);
                    }
                    SendNext();
                  });
                });
}

}  // namespace hyssopspar::node
