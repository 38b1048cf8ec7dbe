#include "node/peer_store.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/store/record_batch.h"
#include "node/request_deadline.h"

namespace hyssopspar::node {

namespace {

/// Unused connections kept to each node.
constexpr std::size_t kIdleConnections = 1;
/// Part of the timeout that the relaying node leaves for its answer, so that
/// "not sent" arrives before the deadline. Many round trips within a region.
constexpr milliseconds kAnswerMargin{100};

}  // namespace

PeerStore::PeerStore(std::vector<std::string> peer_addresses,
                     DecisionLoop* loop)
    : m_peer_addresses(std::move(peer_addresses)),
      m_loop(loop),
      m_pool(1, kIdleConnections) {}

void PeerStore::Append(const std::string& preferred,
                       const std::vector<KeyedRecord>& records,
                       TimePoint deadline,
                       std::function<void(Result<Offset>)> done) {
  if (preferred.empty() && m_peer_addresses.empty()) {
    done(Fail(ErrorCode::kNotSent, "no other node is configured"));
    return;
  }
  const std::string peer =
      preferred.empty()
          ? m_peer_addresses[m_next_peer++ % m_peer_addresses.size()]
          : preferred;
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kRecordsPath;
  request.m_body = EncodeRecords(records);
  const milliseconds timeout =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now()) -
      kAnswerMargin;
  request.m_headers[kTimeoutHeader] =
      std::to_string(std::max(timeout, milliseconds(1)).count());
  m_pool.Send(
      peer, std::move(request), deadline,
      [loop = m_loop, done = std::move(done)](Result<HttpResponse> answer) {
        loop->Post([done, answer = std::move(answer)] {
          if (!answer) {
            done(answer.error());
          } else if (answer.value().m_status == 200) {
            done(Offset{0});
          } else if (answer.value().m_status == 400 ||
                     answer.value().m_status == 413) {
            done(Fail(ErrorCode::kInvalidArgument, answer.value().m_body));
          } else if (answer.value().m_status == 503) {
            done(Fail(ErrorCode::kUnavailable, answer.value().m_body));
          } else {
            done(Fail(ErrorCode::kTimeout, answer.value().m_body));
          }
        });
      });
}

void PeerStore::Stop() {
  m_pool.Stop();
}

}  // namespace hyssopspar::node
