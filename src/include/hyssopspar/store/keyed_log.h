/// \file
/// Interface to the platform's log, used as a store of keyed records.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// One partition of a keyed stream.
struct Partition {
  std::string m_stream;
  int m_number = 0;
};

/// A record of a keyed stream. A record without a value deletes the key.
struct KeyedRecord {
  std::string m_key;
  std::optional<std::string> m_value;
};

/// Bytes of the key and the value.
inline std::size_t BytesOf(const KeyedRecord& record) {
  return record.m_key.size() + (record.m_value ? record.m_value->size() : 0);
}

inline std::size_t BytesOf(const std::vector<KeyedRecord>& records) {
  return std::accumulate(records.begin(), records.end(), std::size_t{0},
                         [](std::size_t bytes, const KeyedRecord& record) {
                           return bytes + BytesOf(record);
                         });
}

/// Conditions under which an append takes effect.
struct AppendGuard {
  /// The append fails with kConflict unless the partition ends at this offset.
  std::optional<Offset> m_expected_end;
  /// Writer whose epoch and sequence are checked; empty for no check. An append
  /// with an older epoch fails with kFenced. An append that repeats a sequence
  /// returns the result of the first one and has no further effect.
  std::string m_writer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

/// Result of a read.
struct KeyedSlice {
  Offset m_end = 0;    ///< Offset of the next append.
  Offset m_next = 0;   ///< Offset at which to continue reading.
  bool m_gap = false;  ///< Unread records were dropped.
  std::vector<KeyedRecord> m_records;
};

/// One page of the newest records of all keys, in key order.
struct KeyedPage {
  Offset m_end = 0;         ///< Offset of the next append.
  bool m_has_more = false;  ///< More pages follow.
  std::vector<KeyedRecord> m_records;
};

/// True if a call to the store that ended with \p code had no effect and will
/// have none: it was not sent, or the store answered that it did not execute
/// it.
inline bool CertainlyHadNoEffect(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotSent:
    case ErrorCode::kUnavailable:
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kNotFound:
    case ErrorCode::kConflict:
    case ErrorCode::kFenced:
      return true;
    default:
      return false;
  }
}

/// Asynchronous calls to the store. Each callback runs exactly once, by the
/// call's deadline. CertainlyHadNoEffect() tells which errors mean that the
/// call had no effect; with kInvalidArgument the store has refused its content,
/// but may take it later. After other errors, as kTimeout and kConnectionLost,
/// it may have taken effect or may still do.
class KeyedLog {
 public:
  virtual ~KeyedLog() = default;

  /// Appends \p records atomically; an empty list only raises the writer's
  /// epoch to the guard's. Yields the end of the partition after the append.
  virtual void Append(const Partition& partition,
                      const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard,
                      TimePoint deadline,
                      std::function<void(Result<Offset>)> done) = 0;

  /// Reads records from offset \p from on. If there are none, waits up to
  /// \p wait for the first.
  virtual void Read(const Partition& partition,
                    Offset from,
                    milliseconds wait,
                    TimePoint deadline,
                    std::function<void(Result<KeyedSlice>)> done) = 0;

  /// Reads the newest records of the keys that follow \p after_key ("" for the
  /// first page).
  virtual void Newest(const Partition& partition,
                      const std::string& after_key,
                      TimePoint deadline,
                      std::function<void(Result<KeyedPage>)> done) = 0;
};

}  // namespace hyssopspar
