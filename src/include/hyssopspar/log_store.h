/// \file
/// Interface to the platform's append-only log of named streams.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// One record of a stream.
struct LogRecord {
  Offset m_offset = 0;
  std::string m_payload;
};

/// Consecutive records of a stream, and the bounds of the entire stream.
struct LogSlice {
  Offset m_start = 0;  ///< Offset of the oldest record retained.
  Offset m_end = 0;    ///< Offset that the next append will get.
  std::vector<LogRecord> m_records;
};

/// True when an append that failed with \p error may have been stored
/// nevertheless.
inline bool MayHaveTakenEffect(const Error& error) {
  return error.m_code != ErrorCode::kNotSent &&
         error.m_code != ErrorCode::kUnavailable;
}

/// Named streams of records. A call may fail although it took effect.
class LogStore {
 public:
  virtual ~LogStore() = default;

  /// Appends \p payload to \p stream.
  /// \returns the offset of the record. After an error for which
  /// MayHaveTakenEffect is false the record was not appended; after any other
  /// error it may have been.
  virtual Result<Offset> Append(const std::string& stream,
                                const std::string& payload,
                                TimePoint deadline) = 0;

  /// Reads up to \p max_records records from offset \p from on. When there is
  /// none yet, waits for one for up to \p wait. A stream that was never written
  /// is empty. When the record at \p from is no longer retained, the slice
  /// starts at the oldest retained record and m_start is greater than \p from.
  virtual Result<LogSlice> Read(const std::string& stream,
                                Offset from,
                                std::size_t max_records,
                                milliseconds wait,
                                TimePoint deadline) = 0;
};

}  // namespace hyssopspar
