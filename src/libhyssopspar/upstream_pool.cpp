#include "hyssopspar/upstream_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "pvt/exchange.h"

namespace hyssopspar {

namespace asio = boost::asio;

namespace {

/// A connection and the strand that all its calls run on.
struct Connection {
  asio::any_io_executor m_executor;
  std::shared_ptr<pvt::Exchange> m_exchange;
};

/// Connections to one address.
struct Peer {
  std::deque<Connection> m_idle;
  std::size_t m_open = 0;
};

}  // namespace

struct UpstreamPool::Impl : std::enable_shared_from_this<UpstreamPool::Impl> {
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_io.get_executor()};
  std::size_t m_max_idle = 0;
  mutable std::mutex m_mutex;
  std::map<std::string, Peer> m_peers;
  std::vector<std::thread> m_threads;

  Connection Take(const std::string& address) {
    std::lock_guard<std::mutex> lock(m_mutex);
    Peer& peer = m_peers[address];
    if (!peer.m_idle.empty()) {
      // The most recently used one, so that surplus connections age.
      Connection connection = std::move(peer.m_idle.back());
      peer.m_idle.pop_back();
      return connection;
    }
    ++peer.m_open;
    Connection connection;
    connection.m_executor = asio::make_strand(m_io);
    connection.m_exchange =
        std::make_shared<pvt::Exchange>(connection.m_executor, address);
    return connection;
  }

  void Return(const std::string& address, Connection connection) {
    std::lock_guard<std::mutex> lock(m_mutex);
    Peer& peer = m_peers[address];
    const bool keep =
        connection.m_exchange->IsReusable() && peer.m_idle.size() < m_max_idle;
    if (keep) {
      peer.m_idle.push_back(std::move(connection));
      return;
    }
    connection.m_exchange->Close();
    --peer.m_open;
  }
};

UpstreamPool::UpstreamPool(int threads, std::size_t max_idle)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_max_idle = max_idle;
  for (int i = 0; i < threads; ++i) {
    m_impl->m_threads.emplace_back([impl = m_impl] { impl->m_io.run(); });
  }
}

UpstreamPool::~UpstreamPool() {
  Stop();
}

void UpstreamPool::Send(const std::string& address,
                        HttpRequest request,
                        TimePoint deadline,
                        Callback done) {
  // Handlers that are never run must not keep the pool alive.
  Impl* const impl = m_impl.get();
  const Connection connection = impl->Take(address);
  asio::post(connection.m_executor,
             [impl, connection, address, request = std::move(request), deadline,
              done = std::move(done)]() mutable {
               connection.m_exchange->Send(
                   request, deadline,
                   [impl, connection, address,
                    done = std::move(done)](Result<HttpResponse> answer) {
                     impl->Return(address, connection);
                     done(std::move(answer));
                   });
             });
}

std::size_t UpstreamPool::Connections(const std::string& address) const {
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  const std::map<std::string, Peer>::const_iterator it =
      m_impl->m_peers.find(address);
  return it == m_impl->m_peers.end() ? 0 : it->second.m_open;
}

void UpstreamPool::Stop() {
  m_impl->m_io.stop();
  for (std::thread& thread : m_impl->m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  m_impl->m_peers.clear();
}

}  // namespace hyssopspar
