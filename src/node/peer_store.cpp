#include "node/peer_store.h"

#include <utility>

#include "hyssopspar/store/record_batch.h"

namespace hyssopspar::node {

namespace {

constexpr std::size_t kIdleConnections = 1;

}  // namespace

PeerStore::PeerStore(std::vector<std::string> peers, DecisionLoop* loop)
    : m_peers(std::move(peers)), m_loop(loop), m_pool(1, kIdleConnections) {}

void PeerStore::Append(const std::string& first,
                       const std::vector<KeyedRecord>& records,
                       TimePoint deadline,
                       std::function<void(Result<Offset>)> done) {
  if (first.empty() && m_peers.empty()) {
    done(Fail(ErrorCode::kNotSent, "no other node is known"));
    return;
  }
  const std::string peer =
      first.empty() ? m_peers[m_next++ % m_peers.size()] : first;
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kRecordsPath;
  request.m_body = EncodeRecords(records);
  m_pool.Send(
      peer, std::move(request), deadline,
      [loop = m_loop, done = std::move(done)](Result<HttpResponse> answer) {
        loop->Post([done, answer = std::move(answer)] {
          if (!answer) {
            done(answer.error());
          } else if (answer.value().m_status == 200) {
            done(Offset{0});
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
