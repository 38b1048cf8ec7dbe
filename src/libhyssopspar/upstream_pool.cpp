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
#include "pvt/run_loop.h"

namespace hyssopspar {

namespace asio = boost::asio;

namespace {

/// A connection and the executor that runs all its calls, one at a time.
struct Connection {
  asio::any_io_executor m_executor;
  std::shared_ptr<pvt::Exchange> m_exchange;
};

/// Idle connections to one address, and the number of all open ones.
struct AddressConnections {
  std::deque<Connection> m_idle;
  std::size_t m_open_count = 0;
};

}  // namespace

struct UpstreamPool::Impl : std::enable_shared_from_this<UpstreamPool::Impl> {
  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard{
      m_io.get_executor()};
  int m_thread_count = 1;
  std::size_t m_max_idle = 0;
  mutable std::mutex m_mutex;
  std::map<std::string, AddressConnections> m_by_address;
  std::vector<std::thread> m_threads;

  Connection Acquire(const std::string& address) {
    std::lock_guard<std::mutex> lock(m_mutex);
    AddressConnections& connections = m_by_address[address];
    if (!connections.m_idle.empty()) {
      // Reuses the most recently used connection; surplus ones stay idle.
      Connection connection = std::move(connections.m_idle.back());
      connections.m_idle.pop_back();
      return connection;
    }
    ++connections.m_open_count;
    Connection connection;
    // The only thread of a pool already runs one call at a time.
    connection.m_executor = m_thread_count == 1
                                ? asio::any_io_executor(m_io.get_executor())
                                : asio::make_strand(m_io);
    connection.m_exchange =
        std::make_shared<pvt::Exchange>(connection.m_executor, address);
    return connection;
  }

  void Release(const std::string& address, Connection connection) {
    std::lock_guard<std::mutex> lock(m_mutex);
    AddressConnections& connections = m_by_address[address];
    const bool keep = connection.m_exchange->IsReusable() &&
                      connections.m_idle.size() < m_max_idle;
    if (keep) {
      connections.m_idle.push_back(std::move(connection));
      return;
    }
    connection.m_exchange->Close();
    --connections.m_open_count;
  }
};

UpstreamPool::UpstreamPool(int threads, std::size_t max_idle)
    : m_impl(std::make_shared<Impl>()) {
  m_impl->m_thread_count = threads;
  m_impl->m_max_idle = max_idle;
  for (int i = 0; i < threads; ++i) {
    m_impl->m_threads.emplace_back(
        [impl = m_impl] { pvt::RunGuarded(&impl->m_io, "client", nullptr); });
  }
}

UpstreamPool::~UpstreamPool() {
  Stop();
}

void UpstreamPool::Send(const std::string& address,
                        HttpRequest request,
                        TimePoint deadline,
                        Callback done) {
  // A raw pointer: a handler that never runs must not keep the pool alive.
  Impl* const impl = m_impl.get();
  const Connection connection = impl->Acquire(address);
  asio::post(connection.m_executor,
             [impl, connection, address, request = std::move(request), deadline,
              done = std::move(done)]() mutable {
               connection.m_exchange->Send(
                   std::move(request), deadline,
                   [impl, connection, address,
                    done = std::move(done)](Result<HttpResponse> answer) {
                     impl->Release(address, connection);
                     done(std::move(answer));
                   });
             });
}

std::size_t UpstreamPool::Connections(const std::string& address) const {
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  const std::map<std::string, AddressConnections>::const_iterator it =
      m_impl->m_by_address.find(address);
  return it == m_impl->m_by_address.end() ? 0 : it->second.m_open_count;
}

void UpstreamPool::Stop() {
  m_impl->m_io.stop();
  for (std::thread& thread : m_impl->m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  m_impl->m_by_address.clear();
}

}  // namespace hyssopspar
