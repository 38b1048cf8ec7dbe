#include "node/peer_handover.h"

#include <memory>
#include <utility>

namespace hyssopspar::node {

namespace {

/// Unused connections kept to each node.
constexpr std::size_t kIdleConnections = 1;
/// Time limits of the question to a peer and of the release that it stores.
constexpr milliseconds kQuestionTimeout{300};
constexpr milliseconds kReleaseTimeout{1000};

}  // namespace

PeerHandover::PeerHandover(std::vector<std::string> peer_addresses,
                           DecisionLoop* loop)
    : m_peer_addresses(std::move(peer_addresses)),
      m_loop(loop),
      m_pool(1, kIdleConnections) {}

void PeerHandover::FindPeer(std::uint64_t epoch,
                            std::function<void(const std::string&)> found) {
  const auto is_found = std::make_shared<bool>(false);
  for (const std::string& peer : m_peer_addresses) {
    HttpRequest request;
    request.m_target = kHandoverPath + std::to_string(epoch);
    m_pool.Send(
        peer, std::move(request), Clock::now() + kQuestionTimeout,
        [loop = m_loop, peer, is_found, found](Result<HttpResponse> answer) {
          const bool can_store = answer && answer.value().m_status == 200;
          loop->Post([peer, is_found, found, can_store] {
            if (can_store && !std::exchange(*is_found, true)) {
              found(peer);
            }
          });
        });
  }
}

void PeerHandover::StoreRelease(const std::string& peer,
                                const jobs::OwnerRecord& release,
                                std::function<void(Result<void>)> done) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kHandoverPath;
  request.m_body = jobs::EncodeOwner(release);
  m_pool.Send(
      peer, std::move(request), Clock::now() + kReleaseTimeout,
      [loop = m_loop, done = std::move(done)](Result<HttpResponse> answer) {
        loop->Post([done, answer = std::move(answer)] {
          if (!answer) {
            done(answer.error());
          } else if (answer.value().m_status != 200) {
            done(Fail(ErrorCode::kUnavailable, answer.value().m_body));
          } else {
            done(Ok());
          }
        });
      });
}

void PeerHandover::Stop() {
  m_pool.Stop();
}

}  // namespace hyssopspar::node
