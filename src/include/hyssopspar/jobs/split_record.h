/// \file
/// Values that are larger than a record of the store, as several records.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar::jobs {

/// Key of the part \p number of the value of \p key.
std::string PartKey(const std::string& key, std::size_t number);

/// Records that hold \p value: one if it has at most \p max_bytes, otherwise
/// one that gives the number of parts and one for each part. They have to be
/// stored together.
std::vector<KeyedRecord> SplitValue(const std::string& key,
                                    std::string value,
                                    std::size_t max_bytes);

/// Puts values together again. Records may come in any order and repeatedly.
class SplitValueReader {
 public:
  /// A complete value and the number of its parts; 0: it is not split.
  struct Value {
    std::string m_key;
    std::string m_bytes;
    std::size_t m_parts = 0;
  };

  /// Takes a record. Returns a value once its last record has been taken.
  std::optional<Value> Take(const KeyedRecord& record);

  /// Keys of the values of which records are missing.
  std::vector<std::string> IncompleteKeys() const;

 private:
  std::optional<Value> Join(const std::string& key) const;

  std::map<std::string, std::size_t> m_part_counts;  ///< By key.
  std::map<std::string, std::string> m_parts;        ///< By the key of a part.
};

}  // namespace hyssopspar::jobs
