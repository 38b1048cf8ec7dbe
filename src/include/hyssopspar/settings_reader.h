/// \file
/// Reads and validates a TOML settings file, reporting all problems together.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

namespace pvt {
struct TomlTable;
struct SettingsFileState;
}  // namespace pvt

/// One table of a settings file. Each getter marks its key as known, records a
/// problem when the value has the wrong type or is out of range, and returns a
/// usable value in any case. Problems() then lists all problems of the file.
class SettingsReader {
 public:
  /// Parses \p text and returns its root table; \p file names it in problems. A
  /// syntax error is recorded as a problem, and the table is then empty.
  static SettingsReader Parse(const std::string& text, const std::string& file);

  /// Parses the file at \p path. Fails with kNotFound when it can't be read.
  static Result<SettingsReader> Load(const std::string& path);

  /// A non-empty string. The key is required when \p fallback is null.
  std::string String(const std::string& key, const char* fallback = nullptr);

  /// One of the strings \p allowed.
  std::string Choice(const std::string& key,
                     const std::vector<std::string>& allowed,
                     const char* fallback = nullptr);

  /// "address:port" with a port from 0 to 65535.
  std::string Address(const std::string& key, const char* fallback = nullptr);

  /// An integer from \p min to \p max, or \p fallback when absent or invalid.
  std::int64_t Int(const std::string& key,
                   std::int64_t fallback,
                   std::int64_t min,
                   std::int64_t max);

  /// An integer from \p min to \p max. The key is required; returns \p min when
  /// it is absent or invalid.
  std::int64_t RequiredInt(const std::string& key,
                           std::int64_t min,
                           std::int64_t max);

  /// A number from \p min to \p max.
  double Number(const std::string& key,
                double fallback,
                double min,
                double max);

  /// A duration given as an integer number of milliseconds. By convention the
  /// key ends in "_ms".
  milliseconds Millis(const std::string& key,
                      milliseconds fallback,
                      milliseconds min,
                      milliseconds max);

  bool Bool(const std::string& key, bool fallback);

  /// An array of strings; empty when absent or invalid.
  std::vector<std::string> Strings(const std::string& key);

  /// The array of tables \p key; empty when absent or invalid.
  std::vector<SettingsReader> Tables(const std::string& key);

  /// The table \p key; an empty one when absent or invalid.
  SettingsReader Table(const std::string& key);

  /// True when \p key is present. Does not mark it as known.
  bool Has(const std::string& key) const;

  /// Records a problem that the caller found with \p key.
  void AddProblem(const std::string& key, const std::string& expected);

  /// Problems of the entire file, sorted by line, each as
  /// "file:line: key: expectation". Keys that no getter has read are reported
  /// as unknown, so call it after all getters.
  std::vector<std::string> Problems() const;

 private:
  SettingsReader() = default;
  void AddProblemAtLine(const std::string& key,
                        int line,
                        const std::string& expected);

  std::shared_ptr<pvt::TomlTable> m_table;
  std::shared_ptr<pvt::SettingsFileState> m_file_state;
  std::string m_key_prefix;
};

}  // namespace hyssopspar
