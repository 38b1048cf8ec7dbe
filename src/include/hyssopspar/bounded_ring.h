/// \file
/// Bounded queue between threads.

#pragma once

#include <cstddef>
#include <utility>

#ifdef HYSSOPSPAR_THREAD_SANITIZER
#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <mutex>
#else
#include <tbb/concurrent_queue.h>
#endif

namespace hyssopspar {

#ifdef HYSSOPSPAR_THREAD_SANITIZER

/// Multi-producer, multi-consumer queue of at most `capacity` items. This
/// implementation is used under ThreadSanitizer, which would report false races
/// in the packaged oneTBB because that is not instrumented.
template <class T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : m_items(capacity) {}

  /// Appends \p item, or returns false when the queue is full.
  bool TryPush(T item) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_items.full()) {
      return false;
    }
    m_items.push_back(std::move(item));
    m_not_empty.notify_one();
    return true;
  }

  /// Appends \p item; blocks while the queue is full.
  void Push(T item) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_not_full.wait(lock, [this] { return !m_items.full(); });
    m_items.push_back(std::move(item));
    m_not_empty.notify_one();
  }

  /// Removes the oldest item and returns it; blocks while the queue is empty.
  T Pop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_not_empty.wait(lock, [this] { return !m_items.empty(); });
    T item = std::move(m_items.front());
    m_items.pop_front();
    m_not_full.notify_one();
    return item;
  }

  /// Moves the oldest item to \p item, or returns false when the queue is
  /// empty.
  bool TryPop(T* item) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_items.empty()) {
      return false;
    }
    *item = std::move(m_items.front());
    m_items.pop_front();
    m_not_full.notify_one();
    return true;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_not_empty;
  std::condition_variable m_not_full;
  boost::circular_buffer<T> m_items;
};

#else

/// Multi-producer, multi-consumer queue of at most `capacity` items.
template <class T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) {
    m_items.set_capacity(static_cast<std::ptrdiff_t>(capacity));
  }

  /// Appends \p item, or returns false when the queue is full.
  bool TryPush(T item) { return m_items.try_push(std::move(item)); }

  /// Appends \p item; blocks while the queue is full.
  void Push(T item) { m_items.push(std::move(item)); }

  /// Removes the oldest item and returns it; blocks while the queue is empty.
  T Pop() {
    T item;
    m_items.pop(item);
    return item;
  }

  /// Moves the oldest item to \p item, or returns false when the queue is
  /// empty.
  bool TryPop(T* item) { return m_items.try_pop(*item); }

 private:
  tbb::concurrent_bounded_queue<T> m_items;
};

#endif

}  // namespace hyssopspar
