#include "pvt/archive.h"

namespace hyssopspar::pvt {

namespace {

/// Levels of nested arrays and objects that a message may have.
constexpr int kMaxNesting = 12;

/// Parser callbacks that build no value and reject a message that is nested
/// deeper than kMaxNesting. Messages are checked before they are passed to
/// from_cbor, which recurses without a limit.
class NestingCheck : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*size*/) override {
    return ++m_depth <= kMaxNesting;
  }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override {
    --m_depth;
    return true;
  }
  bool start_array(std::size_t /*size*/) override {
    return ++m_depth <= kMaxNesting;
  }
  bool end_array() override {
    --m_depth;
    return true;
  }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  int m_depth = 0;
};

}  // namespace

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<Json> FromCbor(const std::string& bytes) {
  NestingCheck check;
  const bool valid =
      Json::sax_parse(bytes, &check, nlohmann::detail::input_format_t::cbor);
  if (!valid) {
    return Fail(ErrorCode::kMalformed, "not a CBOR message");
  }
  Json json = Json::from_cbor(bytes, true, false);
  if (json.is_discarded()) {
    return Fail(ErrorCode::kMalformed, "not a CBOR message");
  }
  return json;
}

}  // namespace hyssopspar::pvt
