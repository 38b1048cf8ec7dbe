/// \file
/// Encoding of record batches sent between nodes.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar {

/// Encodes records. A missing value is encoded as an empty value, so deletions
/// cannot be distinguished from empty values after decoding.
std::string EncodeRecords(const std::vector<KeyedRecord>& records);

/// Decodes a batch. \returns kMalformed for bytes that EncodeRecords did not
/// produce.
Result<std::vector<KeyedRecord>> DecodeRecords(const std::string& bytes);

}  // namespace hyssopspar
