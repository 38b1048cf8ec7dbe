#include "hyssopspar/decision_loop.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "pvt/clock_timer.h"
#include "pvt/run_loop.h"

namespace hyssopspar {

namespace asio = boost::asio;

struct DecisionLoop::Impl {
  std::size_t m_max_queued;
  std::atomic<std::size_t> m_queued{0};
  asio::io_context m_io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work_guard{
      m_io.get_executor()};
  pvt::ClockTimer m_deadline_timer{m_io};
  TimePoint m_deadline = TimePoint::max();
  std::function<void(const std::string&)> m_on_error;
  std::thread m_thread;
};

DecisionLoop::DecisionLoop(std::size_t max_queued,
                           std::function<void(const std::string&)> on_error)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->m_max_queued = max_queued;
  m_impl->m_on_error = std::move(on_error);
  m_impl->m_thread = std::thread([impl = m_impl.get()] {
    pvt::RunGuarded(&impl->m_io, "decision", impl->m_on_error);
  });
}

DecisionLoop::~DecisionLoop() {
  Stop();
}

void DecisionLoop::Post(std::function<void()> event) {
  asio::post(m_impl->m_io, std::move(event));
}

bool DecisionLoop::TryPost(std::function<void()> event) {
  if (m_impl->m_queued.fetch_add(1) >= m_impl->m_max_queued) {
    m_impl->m_queued.fetch_sub(1);
    return false;
  }
  asio::post(m_impl->m_io, [impl = m_impl.get(), event = std::move(event)] {
    impl->m_queued.fetch_sub(1);
    event();
  });
  return true;
}

void DecisionLoop::PostAt(TimePoint at, std::function<void()> event) {
  const auto timer = std::make_shared<pvt::ClockTimer>(m_impl->m_io, at);
  timer->async_wait(
      [timer, event = std::move(event)](boost::system::error_code ec) {
        if (!ec) {
          event();
        }
      });
}

void DecisionLoop::SetDeadline(TimePoint at, std::function<void()> event) {
  if (at == m_impl->m_deadline) {
    return;
  }
  m_impl->m_deadline = at;
  if (at == TimePoint::max()) {
    m_impl->m_deadline_timer.cancel();
    return;
  }
  m_impl->m_deadline_timer.expires_at(at);
  m_impl->m_deadline_timer.async_wait(
      [impl = m_impl.get(),
       event = std::move(event)](boost::system::error_code ec) {
        if (!ec) {
          impl->m_deadline = TimePoint::max();
          event();
        }
      });
}

void DecisionLoop::Stop() {
  m_impl->m_io.stop();
  if (m_impl->m_thread.joinable()) {
    m_impl->m_thread.join();
  }
}

}  // namespace hyssopspar
