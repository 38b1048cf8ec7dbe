/// \file
/// In-memory model of the platform's log service.

#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "hyssopspar/log_store.h"

namespace hyssopspar::standin {

/// The retained records of one stream.
struct StreamModel {
  Offset m_start = 0;  ///< Offset of the oldest retained record.
  std::deque<std::string> m_records;
};

struct LogModel {
  /// Records retained in each stream.
  std::size_t m_max_stream_records = 100000;
  std::map<std::string, StreamModel> m_streams;
  std::uint64_t m_append_count = 0;    ///< Over all streams.
  std::uint64_t m_appended_bytes = 0;  ///< Payload bytes over all streams.
};

/// Appends a record and returns its offset; drops the oldest record when the
/// stream exceeds m_max_stream_records. Creates the stream if needed.
Offset AppendRecord(LogModel* log,
                    const std::string& stream,
                    const std::string& payload);

/// Returns up to \p max_records records from offset \p from on, or from the
/// oldest retained record if that is later. An unknown stream gives an empty
/// slice.
LogSlice ReadRecords(const LogModel& log,
                     const std::string& stream,
                     Offset from,
                     std::size_t max_records);

}  // namespace hyssopspar::standin
