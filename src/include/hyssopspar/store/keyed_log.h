/// \file
/// Interface to the platform's log as a store of keyed records.

#pragma once

#include <cstdint>
#include <functional>
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

/// A record of a keyed stream. Without a value it removes its key.
struct KeyedRecord {
  std::string m_key;
  std::optional<std::string> m_value;
};

/// Conditions under which an append takes effect.
struct AppendGuard {
  /// The append is refused (kConflict) unless the partition ends here.
  std::optional<Offset> m_expected_end;
  /// Writer whose epoch and sequence are checked; empty for none. An older
  /// epoch is refused (kFenced), a repeated sequence gets its first answer.
  std::string m_writer;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

/// Records read from some offset on.
struct KeyedSlice {
  Offset m_end = 0;    ///< Offset that the next append will get.
  Offset m_next = 0;   ///< Offset to read from next.
  bool m_gap = false;  ///< Records before m_first were dropped unread.
  std::vector<KeyedRecord> m_records;
};

/// Part of the newest records of every key, in the order of keys.
struct KeyedPage {
  Offset m_end = 0;
  bool m_more = false;
  std::vector<KeyedRecord> m_records;
};

/// Asynchronous calls to the store. Each callback runs once, by the call's
/// deadline. kNotSent and kUnavailable mean that nothing was done; after
/// kTimeout and kConnectionLost the call may have had, or may yet have, its
/// effect.
class KeyedLog {
 public:
  virtual ~KeyedLog() = default;

  /// Appends all of \p records or none; with none, only sets the guard's
  /// epoch. Yields the partition's end after them.
  virtual void Append(const Partition& partition,
                      const std::vector<KeyedRecord>& records,
                      const AppendGuard& guard,
                      TimePoint deadline,
                      std::function<void(Result<Offset>)> done) = 0;

  /// Reads from \p from, waiting up to \p wait for the first record.
  virtual void Read(const Partition& partition,
                    Offset from,
                    milliseconds wait,
                    TimePoint deadline,
                    std::function<void(Result<KeyedSlice>)> done) = 0;

  /// The newest records of keys after \p after_key ("" for the first page).
  virtual void Newest(const Partition& partition,
                      const std::string& after_key,
                      TimePoint deadline,
                      std::function<void(Result<KeyedPage>)> done) = 0;
};

}  // namespace hyssopspar
