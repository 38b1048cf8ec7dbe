/// \file
/// Bounded queue that joins two threads.

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

/// Multi-producer, multi-consumer queue of at most `capacity` items. This form
/// serves the thread sanitizer, which can't see into the packaged oneTBB.
template <class T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : m_items(capacity) {}

  /// Adds \p item, or returns false when the ring is full.
  bool TryPush(T item) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_items.full()) {
      return false;
    }
    m_items.push_back(std::move(item));
    m_filled.notify_one();
    return true;
  }

  /// Adds \p item, waiting for room.
  void Push(T item) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_drained.wait(lock, [this] { return !m_items.full(); });
    m_items.push_back(std::move(item));
    m_filled.notify_one();
  }

  /// Takes the oldest item, waiting for one.
  T Pop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_filled.wait(lock, [this] { return !m_items.empty(); });
    T item = std::move(m_items.front());
    m_items.pop_front();
    m_drained.notify_one();
    return item;
  }

  /// Takes the oldest item into \p item, or returns false when there is none.
  bool TryPop(T* item) {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_items.empty()) {
      return false;
    }
    *item = std::move(m_items.front());
    m_items.pop_front();
    m_drained.notify_one();
    return true;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_filled;
  std::condition_variable m_drained;
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

  /// Adds \p item, or returns false when the ring is full.
  bool TryPush(T item) { return m_items.try_push(std::move(item)); }

  /// Adds \p item, waiting for room.
  void Push(T item) { m_items.push(std::move(item)); }

  /// Takes the oldest item, waiting for one.
  T Pop() {
    T item;
    m_items.pop(item);
    return item;
  }

  /// Takes the oldest item into \p item, or returns false when there is none.
  bool TryPop(T* item) { return m_items.try_pop(*item); }

 private:
  tbb::concurrent_bounded_queue<T> m_items;
};

#endif

}  // namespace hyssopspar
