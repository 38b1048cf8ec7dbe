#include "hyssopspar/task_pool.h"

#include <utility>

namespace hyssopspar {

TaskPool::TaskPool(std::size_t threads, std::size_t capacity) {
  for (std::size_t i = 0; i < threads; ++i) {
    m_queues.push_back(std::make_unique<BoundedRing<Call>>(capacity));
    BoundedRing<Call>* queue = m_queues.back().get();
    m_threads.emplace_back([queue, i] {
      for (Call call = queue->Pop(); call; call = queue->Pop()) {
        call(i);
      }
    });
  }
}

TaskPool::~TaskPool() {
  Stop();
}

bool TaskPool::TrySubmit(std::size_t key, Call call) {
  return m_queues[key % m_queues.size()]->TryPush(std::move(call));
}

void TaskPool::Stop() {
  for (std::size_t i = 0; i < m_threads.size(); ++i) {
    if (m_threads[i].joinable()) {
      // An empty function ends the thread.
      m_queues[i]->Push(Call());
      m_threads[i].join();
    }
  }
}

}  // namespace hyssopspar
