// CBOR encoding of record batches.

#include <utility>

#include "hyssopspar/decision.h"
#include "pvt/archive.h"
#include "pvt/decision_fields.h"

namespace hyssopspar {

namespace {

constexpr std::uint64_t kBatchFormatVersion = 1;

}  // namespace

std::string EncodeBatch(const Batch& batch) {
  pvt::Json::array_t decisions;
  for (const Decision& decision : batch.m_decisions) {
    decisions.push_back(pvt::VariantToJson(decision));
  }
  return pvt::ToCbor(
      pvt::Json::array({kBatchFormatVersion, batch.m_writer, batch.m_sequence,
                        batch.m_epoch, std::move(decisions)}));
}

Result<Batch> DecodeBatch(const std::string& bytes) {
  const Result<pvt::Json> parsed = pvt::FromCbor(bytes);
  if (!parsed) {
    return parsed.error();
  }
  const pvt::Json& json = parsed.value();
  const bool well_formed =
      json.is_array() && json.size() == 5 && json[0].is_number_unsigned() &&
      json[0] == kBatchFormatVersion && json[1].is_number_unsigned() &&
      json[2].is_number_unsigned() && json[3].is_number_unsigned() &&
      json[4].is_array();
  if (!well_formed) {
    return Fail(ErrorCode::kMalformed, "not a record batch");
  }
  Batch batch;
  batch.m_writer = json[1].get<WriterId>();
  batch.m_sequence = json[2].get<Sequence>();
  batch.m_epoch = json[3].get<Epoch>();
  for (const pvt::Json& item : json[4]) {
    batch.m_decisions.emplace_back();
    if (!pvt::VariantFromJson(item, &batch.m_decisions.back())) {
      return Fail(ErrorCode::kMalformed,
                  "malformed or unknown decision in batch");
    }
  }
  return batch;
}

}  // namespace hyssopspar
