/// \file
/// Interface to the platform's append-only log.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

struct LogRecord {
  Offset m_offset = 0;
  std::string m_payload;
};

/// Part of a stream.
struct LogSlice {
  Offset m_start = 0;  ///< Oldest offset still held.
  Offset m_end = 0;    ///< Offset the next append will get.
  std::vector<LogRecord> m_records;
};

/// True when an append that failed with \p error may be in the log all the
/// same.
inline bool MayHaveTakenEffect(const Error& error) {
  return error.m_code != ErrorCode::kNotSent &&
         error.m_code != ErrorCode::kUnavailable;
}

/// Named streams of records. Each call may fail after taking effect.
class LogStore {
 public:
  virtual ~LogStore() = default;

  /// Appends \p payload and returns its offset. kNotSent means the record was
  /// certainly not appended; after any other error it may have been.
  virtual Result<Offset> Append(const std::string& stream,
                                const std::string& payload,
                                TimePoint deadline) = 0;

  /// Reads up to \p max records from offset \p from, waiting up to \p wait for
  /// the first one. A stream nobody wrote to is empty. When \p from is no
  /// longer held the slice begins at the oldest record that is: m_start then
  /// lies beyond \p from.
  virtual Result<LogSlice> Read(const std::string& stream,
                                Offset from,
                                std::size_t max,
                                milliseconds wait,
                                TimePoint deadline) = 0;
};

}  // namespace hyssopspar
