#include "hyssopspar/store/record_batch.h"

#include "pvt/archive.h"

namespace hyssopspar {

namespace {

struct EncodedRecord {
  std::string m_key;
  std::string m_value;
};

template <class Archive, class T>
void VisitFields(Archive& archive, T& record, const EncodedRecord* /*tag*/) {
  archive(record.m_key, record.m_value);
}

}  // namespace

std::string EncodeRecords(const std::vector<KeyedRecord>& records) {
  std::vector<EncodedRecord> batch;
  batch.reserve(records.size());
  for (const KeyedRecord& record : records) {
    batch.push_back({record.m_key, record.m_value.value_or("")});
  }
  return pvt::Encode(batch);
}

Result<std::vector<KeyedRecord>> DecodeRecords(const std::string& bytes) {
  const Result<std::vector<EncodedRecord>> batch =
      pvt::Decode<std::vector<EncodedRecord>>(bytes);
  if (!batch) {
    return batch.error();
  }
  std::vector<KeyedRecord> records;
  records.reserve(batch.value().size());
  for (const EncodedRecord& record : batch.value()) {
    records.push_back({record.m_key, record.m_value});
  }
  return records;
}

}  // namespace hyssopspar
