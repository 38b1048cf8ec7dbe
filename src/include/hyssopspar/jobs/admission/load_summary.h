/// \file
/// Load of a cell's queues, as its owner publishes it to all nodes.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Load of a queue that has waiting tasks. An amount of work is the product of
/// reserved CPU, in thousandths of a processor, and seconds.
struct QueueLoad {
  std::uint32_t m_queue = 0;    ///< NameHash() of its name.
  milliseconds m_step_time{0};  ///< Learned run time of a step.
  milliseconds m_task_time{0};  ///< Learned mean run time of a task.
  /// Waiting work of tenants within and over their share. A job of a tenant
  /// within its share goes ahead of the latter.
  std::int64_t m_backlog = 0;
  std::int64_t m_backlog_over_share = 0;
  /// Work that ended per second while tasks waited; 0: not known.
  std::int64_t m_drain_rate = 0;
  /// For each resource, the most that is free on any worker of the queue.
  Resources m_free;
};

struct LoadSummary {
  std::int64_t m_as_of_unix_ms = 0;  ///< By the owner's clock.
  std::vector<QueueLoad> m_queues;   ///< Those with waiting tasks.
  /// NameHash() of tenants that have more than their share.
  std::vector<std::uint32_t> m_tenants_over_share;
};

/// Names are published as hashes, since owner records are small.
std::uint32_t NameHash(const std::string& name);

/// Null for a queue without waiting tasks.
const QueueLoad* FindQueueLoad(const LoadSummary& summary, std::uint32_t queue);

bool IsOverShare(const LoadSummary& summary, std::uint32_t tenant);

/// Time until the work ahead of a new job has been started; nothing while the
/// drain rate is not known.
std::optional<milliseconds> ExpectedWait(const QueueLoad& queue,
                                         bool is_over_share);

template <class Archive, class T>
void VisitFields(Archive& archive, T& load, const QueueLoad* /*tag*/) {
  archive(load.m_queue, load.m_step_time, load.m_task_time, load.m_backlog,
          load.m_backlog_over_share, load.m_drain_rate, load.m_free);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& summary, const LoadSummary* /*tag*/) {
  archive(summary.m_as_of_unix_ms, summary.m_queues,
          summary.m_tenants_over_share);
}

}  // namespace hyssopspar::jobs
