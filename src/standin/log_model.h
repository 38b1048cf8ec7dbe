/// \file
/// The platform's log, in memory.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "hyssopspar/log_store.h"

namespace hyssopspar::standin {

struct StreamModel {
  Offset m_start = 0;
  std::deque<std::string> m_records;
};

struct LogModel {
  std::size_t m_retention = 100000;  ///< Records kept in each stream.
  std::map<std::string, StreamModel> m_streams;
  std::uint64_t m_appends = 0;
  std::uint64_t m_bytes = 0;
};

Offset AppendTo(LogModel* log,
                const std::string& stream,
                const std::string& payload);

LogSlice ReadFrom(const LogModel& log,
                  const std::string& stream,
                  Offset from,
                  std::size_t max);

}  // namespace hyssopspar::standin
