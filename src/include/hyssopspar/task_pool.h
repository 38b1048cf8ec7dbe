/// \file
/// Threads that each carry out blocking calls from a bounded ring.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "hyssopspar/bounded_ring.h"

namespace hyssopspar {

/// Jobs with the same key run in order, on the same thread. The argument tells
/// a job which thread it is on, so that it can use that thread's connections.
class TaskPool {
 public:
  using Job = std::function<void(std::size_t thread)>;

  TaskPool(std::size_t threads, std::size_t capacity);
  ~TaskPool();
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  /// Returns false when the ring is full.
  bool TrySubmit(std::size_t key, Job job);

  std::size_t Threads() const { return m_rings.size(); }

  /// Finishes what was submitted, then ends the threads.
  void Stop();

 private:
  std::vector<std::unique_ptr<BoundedRing<Job>>> m_rings;
  std::vector<std::thread> m_threads;
};

}  // namespace hyssopspar
