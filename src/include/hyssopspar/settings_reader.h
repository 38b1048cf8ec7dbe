/// \file
/// Reads and checks a TOML settings file, reporting every mistake at once.

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
struct SettingsProblems;
}  // namespace pvt

/// One table of a settings file. Each getter marks its key as known, notes a
/// problem when the value has the wrong type or range, and returns a usable
/// value in any case; Problems() on the root then lists all that was wrong.
class SettingsReader {
 public:
  /// Parses \p text; \p file names it in problems. A syntax error is a problem
  /// like any other.
  static SettingsReader Parse(const std::string& text, const std::string& file);

  /// Parses the file at \p path.
  /// \returns kNotFound when it can't be read.
  static Result<SettingsReader> Load(const std::string& path);

  /// A string. Required when \p fallback is null.
  std::string String(const std::string& key, const char* fallback = nullptr);

  /// A string out of \p allowed.
  std::string Choice(const std::string& key,
                     const std::vector<std::string>& allowed,
                     const char* fallback = nullptr);

  /// "address:port" with a port from 0 to 65535.
  std::string Address(const std::string& key, const char* fallback = nullptr);

  /// An integer from \p min to \p max.
  std::int64_t Int(const std::string& key,
                   std::int64_t fallback,
                   std::int64_t min,
                   std::int64_t max);
  /// Like Int, without a fallback.
  std::int64_t RequiredInt(const std::string& key,
                           std::int64_t min,
                           std::int64_t max);

  /// A number from \p min to \p max.
  double Number(const std::string& key,
                double fallback,
                double min,
                double max);

  /// A period whose key ends in "_ms", in milliseconds.
  milliseconds Millis(const std::string& key,
                      milliseconds fallback,
                      milliseconds min,
                      milliseconds max);

  bool Bool(const std::string& key, bool fallback);

  /// An array of strings; empty when absent.
  std::vector<std::string> Strings(const std::string& key);

  /// The array of tables \p key; empty when absent.
  std::vector<SettingsReader> Tables(const std::string& key);

  /// The table \p key; an empty one when absent.
  SettingsReader Table(const std::string& key);

  /// True when \p key is present.
  bool Has(const std::string& key) const;

  /// Notes a problem with \p key found by the caller.
  void AddProblem(const std::string& key, const std::string& expected);

  /// Every problem so far in the whole file, including keys nobody asked for:
  /// "file:line: key: expectation". Call it last.
  std::vector<std::string> Problems() const;

 private:
  SettingsReader() = default;
  void Note(const std::string& key, int line, const std::string& expected);

  std::shared_ptr<pvt::TomlTable> m_table;
  std::shared_ptr<pvt::SettingsProblems> m_problems;
  std::string m_prefix;
};

}  // namespace hyssopspar
