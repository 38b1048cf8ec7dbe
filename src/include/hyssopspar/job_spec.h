/// \file
/// Specification of a batch job, as submitted and as stored in a cell's stream.

#pragma once

#include <cstdint>
#include <string>

#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

struct JobSpec {
  JobId m_id = 0;
  std::string m_tenant;
  std::string m_name;   ///< Name of the job in the configuration.
  std::string m_class;  ///< Workload class of its tasks.
  std::uint32_t m_tasks = 1;
  Resources m_size;             ///< Declared requirements of each task.
  milliseconds m_run_time{0};   ///< Declared run time of each task.
  std::int64_t m_priority = 0;  ///< Higher values are placed first.
};

/// Passes all fields to \p archive, for encoding and for decoding. The order is
/// the stored format.
template <class Archive, class Spec>
void VisitFields(Archive& archive, Spec& spec, const JobSpec* /*tag*/) {
  archive(spec.m_id, spec.m_tenant, spec.m_name, spec.m_class, spec.m_tasks,
          spec.m_size, spec.m_run_time, spec.m_priority);
}

}  // namespace hyssopspar
