/// \file
/// Identifier types. Entities that occur in replayed records are identified by
/// integers, which are cheap to decode and compare; others by name.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace hyssopspar {

using Offset = std::uint64_t;    ///< Position in a log stream.
using Epoch = std::uint64_t;     ///< Log offset of the owner's accepted claim.
using WriterId = std::uint64_t;  ///< Drawn at random at each process start.
using Sequence = std::uint64_t;  ///< Counts per writer and stream, from 1.
using Revision = std::uint64_t;  ///< Configuration revision, from 1.
using JobId = std::uint64_t;     ///< Hash of tenant and submission key.
using WorkerIndex = std::uint32_t;  ///< Position in a cell's worker table.
using Attempt = std::uint32_t;      ///< Counts the starts of a task, from 1.

/// One task of a job.
struct TaskId {
  JobId m_job = 0;
  std::uint32_t m_index = 0;  ///< Position among the job's tasks.

  friend bool operator==(const TaskId& a, const TaskId& b) {
    return a.m_job == b.m_job && a.m_index == b.m_index;
  }
  friend bool operator<(const TaskId& a, const TaskId& b) {
    return std::tie(a.m_job, a.m_index) < std::tie(b.m_job, b.m_index);
  }
};

/// Formats \p job as 16 hexadecimal digits.
std::string FormatJobId(JobId job);

/// Formats \p task as "job/index".
std::string FormatTaskId(const TaskId& task);

/// 64-bit hash of \p text under \p seed.
std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0);

/// Identifier of the job that \p tenant submits under \p key. Equal keys of one
/// tenant give the same identifier, so that a repeated submission refers to the
/// job of the first one.
JobId MakeJobId(std::string_view tenant, std::string_view key);

/// Non-zero random number from the system's entropy source.
std::uint64_t RandomId();

}  // namespace hyssopspar
