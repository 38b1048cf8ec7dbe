/// \file
/// Thread pool for blocking calls.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "hyssopspar/bounded_ring.h"

namespace hyssopspar {

/// Threads that make blocking calls, each from a bounded queue of its own.
/// Calls submitted under the same key run in order on the same thread.
/// Unrelated to the jobs and tasks that are scheduled on workers.
class TaskPool {
 public:
  /// A call. Its argument is the index of the thread that runs it, so that it
  /// can use the connections of that thread.
  using Call = std::function<void(std::size_t thread)>;

  /// Starts \p threads threads, each with a queue of \p capacity calls.
  TaskPool(std::size_t threads, std::size_t capacity);
  ~TaskPool();
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  /// Queues \p call for the thread that \p key selects. Returns false when the
  /// queue of that thread is full.
  bool TrySubmit(std::size_t key, Call call);

  std::size_t ThreadCount() const { return m_queues.size(); }

  /// Runs the calls that are queued, then ends the threads.
  void Stop();

 private:
  std::vector<std::unique_ptr<BoundedRing<Call>>> m_queues;
  std::vector<std::thread> m_threads;
};

}  // namespace hyssopspar
