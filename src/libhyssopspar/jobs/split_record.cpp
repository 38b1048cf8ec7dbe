#include "hyssopspar/jobs/split_record.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hyssopspar::jobs {

namespace {

constexpr char kPartSeparator = '/';
/// Begins a record that gives the number of parts. No encoded value begins with
/// it: they are CBOR arrays.
constexpr char kSplitMark = '/';

/// Number of parts that a record with the value \p value announces; 0 if it is
/// a value itself.
std::size_t AnnouncedParts(const std::string& value) {
  std::size_t parts = 0;
  if (!value.empty() && value[0] == kSplitMark) {
    std::from_chars(value.data() + 1, value.data() + value.size(), parts);
  }
  return parts;
}

}  // namespace

std::string PartKey(const std::string& key, std::size_t number) {
  return key + kPartSeparator + std::to_string(number);
}

std::vector<KeyedRecord> SplitValue(const std::string& key,
                                    std::string value,
                                    std::size_t max_bytes) {
  if (value.size() <= max_bytes) {
    return {{key, std::move(value)}};
  }
  const std::size_t parts = (value.size() + max_bytes - 1) / max_bytes;
  std::vector<KeyedRecord> records = {
      {key, kSplitMark + std::to_string(parts)}};
  for (std::size_t i = 0; i < parts; ++i) {
    records.push_back(
        {PartKey(key, i), value.substr(i * max_bytes, max_bytes)});
  }
  return records;
}

std::optional<SplitValueReader::Value> SplitValueReader::Take(
    const KeyedRecord& record) {
  const std::string bytes = record.m_value.value_or("");
  const std::size_t separator = record.m_key.find(kPartSeparator);
  if (separator != std::string::npos) {
    m_parts[record.m_key] = bytes;
    return Join(record.m_key.substr(0, separator));
  }
  const std::size_t parts = AnnouncedParts(bytes);
  if (parts == 0) {
    m_part_counts.erase(record.m_key);
    return Value{record.m_key, bytes, 0};
  }
  m_part_counts[record.m_key] = parts;
  return Join(record.m_key);
}

std::optional<SplitValueReader::Value> SplitValueReader::Join(
    const std::string& key) const {
  const auto count = m_part_counts.find(key);
  if (count == m_part_counts.end()) {
    return std::nullopt;
  }
  Value value{key, "", count->second};
  for (std::size_t i = 0; i < count->second; ++i) {
    const auto part = m_parts.find(PartKey(key, i));
    if (part == m_parts.end()) {
      return std::nullopt;
    }
    value.m_bytes += part->second;
  }
  return value;
}

std::vector<std::string> SplitValueReader::IncompleteKeys() const {
  std::vector<std::string> keys;
  for (const auto& entry : m_part_counts) {
    if (!Join(entry.first)) {
      keys.push_back(entry.first);
    }
  }
  return keys;
}

}  // namespace hyssopspar::jobs
