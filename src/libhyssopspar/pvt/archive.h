/// \file
/// Serialises structures as CBOR arrays. A structure is supported by a
/// VisitFields overload that passes its fields to an archive, in their encoded
/// order. One overload serves both writing (T is const) and reading; it is
/// selected by its last parameter, a null pointer to the structure's type.

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

/// Archive that appends the fields it is called with to a JSON array.
class ArchiveWriter {
 public:
  template <class... T>
  void operator()(const T&... fields) {
    (m_items.push_back(ToJson(fields)), ...);
  }

  /// Appends fields that later versions have added, unless all have their
  /// default values. Call it last.
  template <class... T>
  void Tail(const T&... fields) {
    if (!((fields == T()) && ...)) {
      (*this)(fields...);
    }
  }

  /// The array; call it once.
  Json::array_t Take() { return std::move(m_items); }

  template <class T>
  static Json ToJson(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return Json(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_arithmetic_v<T>) {
      return Json(value);
    } else {
      return CompoundToJson(value);
    }
  }

 private:
  static Json CompoundToJson(const std::string& value) {
    // A byte string rather than text, because names may hold invalid UTF-8.
    return Json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
  }
  template <class Rep, class Period>
  static Json CompoundToJson(const std::chrono::duration<Rep, Period>& value) {
    return Json(value.count());
  }
  template <class T>
  static Json CompoundToJson(const std::vector<T>& values) {
    Json::array_t items;
    for (const T& value : values) {
      items.push_back(ToJson(value));
    }
    return items;
  }
  template <class T>
  static Json CompoundToJson(const std::set<T>& values) {
    return CompoundToJson(std::vector<T>(values.begin(), values.end()));
  }
  template <class K, class V>
  static Json CompoundToJson(const std::map<K, V>& values) {
    Json::array_t items;
    for (const std::pair<const K, V>& entry : values) {
      items.push_back(ToJson(entry.first));
      items.push_back(ToJson(entry.second));
    }
    return items;
  }
  template <class T>
  static Json CompoundToJson(const T& value) {
    ArchiveWriter writer;
    VisitFields(writer, value, static_cast<const T*>(nullptr));
    return writer.Take();
  }

  Json::array_t m_items;
};

/// Archive that reads the fields it is called with from a JSON array, which
/// must outlive it.
class ArchiveReader {
 public:
  explicit ArchiveReader(const Json& json)
      : m_json(json), m_all_read(json.is_array()) {}

  template <class... T>
  void operator()(T&... fields) {
    (ReadField(fields), ...);
  }

  /// Reads what ArchiveWriter::Tail() may have left out, of a record that may
  /// have been written when the last of these fields didn't exist.
  template <class... T>
  void Tail(T&... fields) {
    ((m_next_index < m_json.size() ? ReadField(fields) : void()), ...);
  }

  /// True when every field was read and the array has no further elements.
  bool IsComplete() const {
    return m_all_read && m_next_index == m_json.size();
  }

  /// Converts \p json to \p value. False when it is of another type or does not
  /// fit; \p value is then unspecified.
  template <class T>
  static bool FromJson(const Json& json, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = json.is_boolean() && json.get<bool>();
      return json.is_boolean();
    } else if constexpr (std::is_enum_v<T>) {
      std::underlying_type_t<T> number = 0;
      const bool converted = FromJson(json, number);
      value = static_cast<T>(number);
      return converted && number <= kMaxEnumerator;
    } else if constexpr (std::is_integral_v<T>) {
      return IntegerFromJson(json, value);
    } else if constexpr (std::is_floating_point_v<T>) {
      value = json.is_number() ? json.get<T>() : T();
      return json.is_number();
    } else {
      return CompoundFromJson(json, value);
    }
  }

 private:
  /// Upper limit of the value of an enumerator. No enumeration in a record has
  /// more values.
  static constexpr int kMaxEnumerator = 15;

  template <class T>
  void ReadField(T& field) {
    m_all_read = m_all_read && m_next_index < m_json.size() &&
                 FromJson(m_json[m_next_index], field);
    ++m_next_index;
  }

  template <class T>
  static bool IntegerFromJson(const Json& json, T& value) {
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

  static bool CompoundFromJson(const Json& json, std::string& value) {
    if (!json.is_binary()) {
      return false;
    }
    const Json::binary_t& bytes = json.get_binary();
    value.assign(bytes.begin(), bytes.end());
    return true;
  }
  template <class Rep, class Period>
  static bool CompoundFromJson(const Json& json,
                               std::chrono::duration<Rep, Period>& value) {
    Rep count = 0;
    const bool converted = FromJson(json, count);
    value = std::chrono::duration<Rep, Period>(count);
    return converted;
  }
  template <class T>
  static bool CompoundFromJson(const Json& json, std::vector<T>& values) {
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
  static bool CompoundFromJson(const Json& json, std::set<T>& values) {
    std::vector<T> items;
    const bool converted = CompoundFromJson(json, items);
    values.insert(items.begin(), items.end());
    return converted;
  }
  template <class K, class V>
  static bool CompoundFromJson(const Json& json, std::map<K, V>& values) {
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
  static bool CompoundFromJson(const Json& json, T& value) {
    ArchiveReader reader(json);
    VisitFields(reader, value, static_cast<const T*>(nullptr));
    return reader.IsComplete();
  }

  const Json& m_json;
  std::size_t m_next_index = 0;
  bool m_all_read;  ///< All fields so far could be read.
};

/// Encodes \p json as CBOR.
std::string ToCbor(const Json& json);

/// Parses CBOR. Fails with kMalformed, also for trailing bytes and for deep
/// nesting.
Result<Json> FromCbor(const std::string& bytes);

/// Encodes a value of any type that ArchiveWriter supports as CBOR.
template <class T>
std::string Encode(const T& value) {
  return ToCbor(ArchiveWriter::ToJson(value));
}

/// Decodes what Encode made. Fails with kMalformed for other bytes.
template <class T>
Result<T> Decode(const std::string& bytes) {
  const Result<Json> json = FromCbor(bytes);
  if (!json) {
    return json.error();
  }
  T value;
  if (!ArchiveReader::FromJson(json.value(), value)) {
    return Fail(ErrorCode::kMalformed, "fields missing or of the wrong type");
  }
  return value;
}

/// JSON array `[index of the alternative, fields]` of a variant of structures.
template <class Variant>
Json VariantToJson(const Variant& variant) {
  Json fields = std::visit(
      [](const auto& alternative) {
        return ArchiveWriter::ToJson(alternative);
      },
      variant);
  return Json::array({variant.index(), std::move(fields)});
}

/// Reads \p fields into alternative \p index of \p variant, trying alternatives
/// from I on. False when there is no such alternative or the fields do not
/// match.
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
    return ArchiveReader::FromJson(fields, variant->template emplace<I>());
  }
}

/// Reads what VariantToJson made; false when \p json has another form.
template <class Variant>
bool VariantFromJson(const Json& json, Variant* variant) {
  const bool well_formed =
      json.is_array() && json.size() == 2 && json[0].is_number_unsigned();
  return well_formed &&
         AlternativeFromJson(json[0].get<std::size_t>(), json[1], variant);
}

/// Encodes a variant of structures as CBOR.
template <class Variant>
std::string EncodeVariant(const Variant& variant) {
  return ToCbor(VariantToJson(variant));
}

/// Decodes what EncodeVariant made. Fails with kMalformed for other bytes; the
/// error says that they are not a \p what.
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
