/// \file
/// Turns structures into CBOR arrays and back. Each structure lists its fields
/// once in a VisitFields overload, found by a tag pointer.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"

namespace hyssopspar {

template <class Archive, class T>
void VisitFields(Archive& archive, T& id, const TaskId* /*tag*/) {
  archive(id.m_job, id.m_index);
}

template <class Archive, class T>
void VisitFields(Archive& archive, T& r, const Resources* /*tag*/) {
  archive(r.m_cpu_milli, r.m_memory_mib, r.m_accelerators);
}

}  // namespace hyssopspar

namespace hyssopspar::pvt {

using Json = nlohmann::json;

/// Appends fields to a JSON array.
class Writer {
 public:
  template <class... T>
  void operator()(const T&... fields) {
    (m_items.push_back(ToJson(fields)), ...);
  }

  Json::array_t Take() { return std::move(m_items); }

  template <class T>
  static Json ToJson(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return Json(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      return Json(value);
    } else {
      return Compound(value);
    }
  }

 private:
  static Json Compound(const std::string& value) {
    // Bytes rather than text: names may hold what is not UTF-8.
    return Json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
  }
  template <class Rep, class Period>
  static Json Compound(const std::chrono::duration<Rep, Period>& value) {
    return Json(value.count());
  }
  template <class T>
  static Json Compound(const std::vector<T>& values) {
    Json::array_t items;
    for (const T& value : values) {
      items.push_back(ToJson(value));
    }
    return items;
  }
  template <class T>
  static Json Compound(const std::set<T>& values) {
    return Compound(std::vector<T>(values.begin(), values.end()));
  }
  template <class K, class V>
  static Json Compound(const std::map<K, V>& values) {
    Json::array_t items;
    for (const std::pair<const K, V>& entry : values) {
      items.push_back(ToJson(entry.first));
      items.push_back(ToJson(entry.second));
    }
    return items;
  }
  template <class T>
  static Json Compound(const T& value) {
    Writer writer;
    VisitFields(writer, value, static_cast<const T*>(nullptr));
    return writer.Take();
  }

  Json::array_t m_items;
};

/// Takes fields out of a JSON array; IsGood() tells whether all were there.
class Reader {
 public:
  explicit Reader(const Json& json) : m_json(json), m_good(json.is_array()) {}

  template <class... T>
  void operator()(T&... fields) {
    (Field(fields), ...);
  }

  /// True when every field was read and none is left over.
  bool IsGood() const { return m_good && m_at == m_json.size(); }

  template <class T>
  static bool FromJson(const Json& json, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = json.is_boolean() && json.get<bool>();
      return json.is_boolean();
    } else if constexpr (std::is_enum_v<T>) {
      std::underlying_type_t<T> number = 0;
      const bool good = FromJson(json, number);
      value = static_cast<T>(number);
      return good && number <= kMaxEnum;
    } else if constexpr (std::is_integral_v<T>) {
      return Integer(json, value);
    } else if constexpr (std::is_floating_point_v<T>) {
      value = json.is_number() ? json.get<T>() : T();
      return json.is_number();
    } else {
      return Compound(json, value);
    }
  }

 private:
  /// No enumeration of a record has more values.
  static constexpr int kMaxEnum = 15;

  template <class T>
  void Field(T& field) {
    m_good = m_good && m_at < m_json.size() && FromJson(m_json[m_at], field);
    ++m_at;
  }

  template <class T>
  static bool Integer(const Json& json, T& value) {
    if (!json.is_number_integer()) {
      return false;
    }
    if constexpr (std::is_unsigned_v<T>) {
      const std::uint64_t wide =
          json.is_number_unsigned() ? json.get<std::uint64_t>() : 0;
      value = static_cast<T>(wide);
      return json.is_number_unsigned() && value == wide;
    } else {
      const std::int64_t wide = json.get<std::int64_t>();
      value = static_cast<T>(wide);
      const bool overflow = json.is_number_unsigned() && wide < 0;
      return !overflow && value == wide;
    }
  }

  static bool Compound(const Json& json, std::string& value) {
    if (!json.is_binary()) {
      return false;
    }
    const Json::binary_t& bytes = json.get_binary();
    value.assign(bytes.begin(), bytes.end());
    return true;
  }
  template <class Rep, class Period>
  static bool Compound(const Json& json,
                       std::chrono::duration<Rep, Period>& value) {
    Rep count = 0;
    const bool good = FromJson(json, count);
    value = std::chrono::duration<Rep, Period>(count);
    return good;
  }
  template <class T>
  static bool Compound(const Json& json, std::vector<T>& values) {
    if (!json.is_array()) {
      return false;
    }
    for (const Json& item : json) {
      values.emplace_back();
      if (!FromJson(item, values.back())) {
        return false;
      }
    }
    return true;
  }
  template <class T>
  static bool Compound(const Json& json, std::set<T>& values) {
    std::vector<T> items;
    const bool good = Compound(json, items);
    values.insert(items.begin(), items.end());
    return good;
  }
  template <class K, class V>
  static bool Compound(const Json& json, std::map<K, V>& values) {
    if (!json.is_array() || json.size() % 2 != 0) {
      return false;
    }
    for (std::size_t i = 0; i < json.size(); i += 2) {
      K key{};
      if (!FromJson(json[i], key) || !FromJson(json[i + 1], values[key])) {
        return false;
      }
    }
    return true;
  }
  template <class T>
  static bool Compound(const Json& json, T& value) {
    Reader reader(json);
    VisitFields(reader, value, static_cast<const T*>(nullptr));
    return reader.IsGood();
  }

  const Json& m_json;
  std::size_t m_at = 0;
  bool m_good;
};

/// CBOR bytes of \p json.
std::string ToCbor(const Json& json);

/// Parses CBOR bytes, refusing trailing bytes and deep nesting.
Result<Json> FromCbor(const std::string& bytes);

/// CBOR bytes of any structure with VisitFields.
template <class T>
std::string Encode(const T& value) {
  return ToCbor(Writer::ToJson(value));
}

/// Structure out of CBOR bytes.
template <class T>
Result<T> Decode(const std::string& bytes) {
  const Result<Json> json = FromCbor(bytes);
  if (!json) {
    return json.error();
  }
  T value;
  if (!Reader::FromJson(json.value(), value)) {
    return Fail(ErrorCode::kMalformed, "fields missing or of the wrong type");
  }
  return value;
}

/// `[alternative, fields]` of a variant.
template <class Variant>
Json VariantToJson(const Variant& variant) {
  Json fields = std::visit(
      [](const auto& alternative) { return Writer::ToJson(alternative); },
      variant);
  return Json::array({variant.index(), std::move(fields)});
}

template <class Variant, std::size_t I = 0>
bool AlternativeFromJson(std::size_t index,
                         const Json& fields,
                         Variant* variant) {
  if constexpr (I == std::variant_size_v<Variant>) {
    return false;
  } else {
    if (index != I) {
      return AlternativeFromJson<Variant, I + 1>(index, fields, variant);
    }
    return Reader::FromJson(fields, variant->template emplace<I>());
  }
}

/// Reads what VariantToJson made; false when \p json is anything else.
template <class Variant>
bool VariantFromJson(const Json& json, Variant* variant) {
  const bool shaped =
      json.is_array() && json.size() == 2 && json[0].is_number_unsigned();
  return shaped &&
         AlternativeFromJson(json[0].get<std::size_t>(), json[1], variant);
}

/// CBOR bytes of a variant of structures.
template <class Variant>
std::string EncodeVariant(const Variant& variant) {
  return ToCbor(VariantToJson(variant));
}

/// Variant out of CBOR bytes; \p what names it in the error.
template <class Variant>
Result<Variant> DecodeVariant(const std::string& bytes, const char* what) {
  const Result<Json> json = FromCbor(bytes);
  if (!json) {
    return json.error();
  }
  Variant variant;
  if (!VariantFromJson(json.value(), &variant)) {
    return Fail(ErrorCode::kMalformed, std::string("not a ") + what);
  }
  return variant;
}

}  // namespace hyssopspar::pvt
