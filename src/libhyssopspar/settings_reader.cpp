#include "hyssopspar/settings_reader.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace hyssopspar {

namespace pvt {

/// State that the readers of all tables of one file share.
struct SettingsFileState {
  std::string m_file;
  /// Problems found by the getters, each with its line.
  std::vector<std::pair<int, std::string>> m_located_problems;
  /// Tables that a reader was made for, each with the prefix of its keys.
  std::vector<std::pair<std::string, std::shared_ptr<TomlTable>>> m_read_tables;
};

/// One table of a file, and the keys of it that getters have read.
struct TomlTable {
  toml::table m_root;  ///< Set only in the root table, which owns all nodes.
  const toml::table* m_table = nullptr;  ///< Null when absent or invalid.
  std::set<std::string> m_known_keys;
};

}  // namespace pvt

namespace {

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

std::string RangeText(std::int64_t min, std::int64_t max) {
  return "an integer from " + std::to_string(min) + " to " +
         std::to_string(max);
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
    return false;
  }
  const std::string port = text.substr(colon + 1);
  const bool all_digits = std::all_of(
      port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
  return all_digits && port.size() <= 5 && std::stoi(port) <= 65535;
}

/// The value of \p key, or null; marks the key as known.
const toml::node* FindAndMarkKnown(pvt::TomlTable* table,
                                   const std::string& key) {
  table->m_known_keys.insert(key);
  return table->m_table == nullptr ? nullptr : table->m_table->get(key);
}

/// Line on which \p table starts.
int TableLine(const pvt::TomlTable& table) {
  return table.m_table == nullptr ? 1 : LineOf(*table.m_table);
}

}  // namespace

SettingsReader SettingsReader::Parse(const std::string& text,
                                     const std::string& file) {
  SettingsReader reader;
  reader.m_file_state = std::make_shared<pvt::SettingsFileState>();
  reader.m_file_state->m_file = file;
  reader.m_table = std::make_shared<pvt::TomlTable>();
  try {
    reader.m_table->m_root = toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    reader.m_file_state->m_located_problems.emplace_back(
        static_cast<int>(e.source().begin.line),
        "syntax: " + std::string(e.description()));
  }
  reader.m_table->m_table = &reader.m_table->m_root;
  reader.m_file_state->m_read_tables.emplace_back("", reader.m_table);
  return reader;
}

Result<SettingsReader> SettingsReader::Load(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return Fail(ErrorCode::kNotFound, "can't read " + path);
  }
  std::stringstream text;
  text << in.rdbuf();
  return Parse(text.str(), path);
}

void SettingsReader::AddProblemAtLine(const std::string& key,
                                      int line,
                                      const std::string& expected) {
  m_file_state->m_located_problems.emplace_back(
      line, m_key_prefix + key + ": " + expected);
}

void SettingsReader::AddProblem(const std::string& key,
                                const std::string& expected) {
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  AddProblemAtLine(key, node == nullptr ? TableLine(*m_table) : LineOf(*node),
                   expected);
}

bool SettingsReader::Has(const std::string& key) const {
  return m_table->m_table != nullptr && m_table->m_table->contains(key);
}

std::string SettingsReader::String(const std::string& key,
                                   const char* fallback) {
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    if (fallback == nullptr) {
      AddProblem(key, "missing, expected a string");
      return "";
    }
    return fallback;
  }
  if (!node->is_string() || node->as_string()->get().empty()) {
    AddProblem(key, "expected a string that is not empty");
    return fallback == nullptr ? "" : fallback;
  }
  return node->as_string()->get();
}

std::string SettingsReader::Choice(const std::string& key,
                                   const std::vector<std::string>& allowed,
                                   const char* fallback) {
  std::string value = String(key, fallback);
  if (!value.empty() &&
      std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
    std::string expected = "expected one of";
    for (const std::string& choice : allowed) {
      expected += " " + choice;
    }
    AddProblem(key, expected);
  }
  return value;
}

std::string SettingsReader::Address(const std::string& key,
                                    const char* fallback) {
  std::string value = String(key, fallback);
  if (!value.empty() && !IsAddress(value)) {
    AddProblem(key, "expected IP:PORT with a port from 0 to 65535");
  }
  return value;
}

std::int64_t SettingsReader::Int(const std::string& key,
                                 std::int64_t fallback,
                                 std::int64_t min,
                                 std::int64_t max) {
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    return fallback;
  }
  const bool in_range = node->is_integer() &&
                        node->as_integer()->get() >= min &&
                        node->as_integer()->get() <= max;
  if (!in_range) {
    AddProblem(key, "expected " + RangeText(min, max));
    return fallback;
  }
  return node->as_integer()->get();
}

std::int64_t SettingsReader::RequiredInt(const std::string& key,
                                         std::int64_t min,
                                         std::int64_t max) {
  if (!Has(key)) {
    AddProblem(key, "missing, expected " + RangeText(min, max));
    return min;
  }
  return Int(key, min, min, max);
}

double SettingsReader::Number(const std::string& key,
                              double fallback,
                              double min,
                              double max) {
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    return fallback;
  }
  const double value =
      node->is_number() ? node->value<double>().value_or(min - 1) : min - 1;
  if (!(value >= min && value <= max)) {
    AddProblem(key, "expected a number from " + std::to_string(min) + " to " +
                        std::to_string(max));
    return fallback;
  }
  return value;
}

milliseconds SettingsReader::Millis(const std::string& key,
                                    milliseconds fallback,
                                    milliseconds min,
                                    milliseconds max) {
  return milliseconds(Int(key, fallback.count(), min.count(), max.count()));
}

bool SettingsReader::Bool(const std::string& key, bool fallback) {
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    AddProblem(key, "expected true or false");
    return fallback;
  }
  return node->as_boolean()->get();
}

std::vector<std::string> SettingsReader::Strings(const std::string& key) {
  std::vector<std::string> values;
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    return values;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::string)) {
    AddProblem(key, "expected an array of strings");
    return values;
  }
  for (const toml::node& item : *array) {
    values.push_back(item.as_string()->get());
  }
  return values;
}

SettingsReader SettingsReader::Table(const std::string& key) {
  SettingsReader child;
  child.m_file_state = m_file_state;
  child.m_key_prefix = m_key_prefix + key + ".";
  child.m_table = std::make_shared<pvt::TomlTable>();
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node != nullptr && !node->is_table()) {
    AddProblem(key, "expected a table");
  } else if (node != nullptr) {
    child.m_table->m_table = node->as_table();
  }
  m_file_state->m_read_tables.emplace_back(child.m_key_prefix, child.m_table);
  return child;
}

std::vector<SettingsReader> SettingsReader::Tables(const std::string& key) {
  std::vector<SettingsReader> children;
  const toml::node* node = FindAndMarkKnown(m_table.get(), key);
  if (node == nullptr) {
    return children;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
    AddProblem(key, "expected an array of tables, [[" + key + "]]");
    return children;
  }
  for (const toml::node& item : *array) {
    SettingsReader child;
    child.m_file_state = m_file_state;
    child.m_key_prefix =
        m_key_prefix + key + "[" + std::to_string(children.size()) + "].";
    child.m_table = std::make_shared<pvt::TomlTable>();
    child.m_table->m_table = item.as_table();
    m_file_state->m_read_tables.emplace_back(child.m_key_prefix, child.m_table);
    children.push_back(child);
  }
  return children;
}

std::vector<std::string> SettingsReader::Problems() const {
  std::vector<std::pair<int, std::string>> all =
      m_file_state->m_located_problems;
  for (const std::pair<std::string, std::shared_ptr<pvt::TomlTable>>& entry :
       m_file_state->m_read_tables) {
    if (entry.second->m_table == nullptr) {
      continue;
    }
    for (auto it = entry.second->m_table->begin();
         it != entry.second->m_table->end(); ++it) {
      const std::string key((*it).first.str());
      if (entry.second->m_known_keys.count(key) == 0) {
        all.emplace_back(LineOf((*it).second),
                         entry.first + key + ": unknown key");
      }
    }
  }
  std::stable_sort(all.begin(), all.end());
  std::vector<std::string> lines;
  lines.reserve(all.size());
  for (const std::pair<int, std::string>& problem : all) {
    lines.push_back(m_file_state->m_file + ":" + std::to_string(problem.first) +
                    ": " + problem.second);
  }
  return lines;
}

}  // namespace hyssopspar
