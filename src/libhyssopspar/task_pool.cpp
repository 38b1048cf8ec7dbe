#include "hyssopspar/task_pool.h"

#include <utility>

namespace hyssopspar {

TaskPool::TaskPool(std::size_t threads, std::size_t capacity) {
  for (std::size_t i = 0; i < threads; ++i) {
    m_rings.push_back(std::make_unique<BoundedRing<Job>>(capacity));
    BoundedRing<Job>* ring = m_rings.back().get();
    m_threads.emplace_back([ring, i] {
      for (Job job = ring->Pop(); job; job = ring->Pop()) {
        job(i);
      }
    });
  }
}

TaskPool::~TaskPool() {
  Stop();
}

bool TaskPool::TrySubmit(std::size_t key, Job job) {
  return m_rings[key % m_rings.size()]->TryPush(std::move(job));
}

void TaskPool::Stop() {
  for (std::size_t i = 0; i < m_threads.size(); ++i) {
    if (m_threads[i].joinable()) {
      m_rings[i]->Push(Job());
      m_threads[i].join();
    }
  }
}

}  // namespace hyssopspar
