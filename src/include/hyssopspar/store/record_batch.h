/// \file
/// Encoding of records on their way between nodes.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/store/keyed_log.h"

namespace hyssopspar {

/// Records without a value become ones with an empty value.
std::string EncodeRecords(const std::vector<KeyedRecord>& records);

/// \returns kMalformed for bytes that EncodeRecords did not make.
Result<std::vector<KeyedRecord>> DecodeRecords(const std::string& bytes);

}  // namespace hyssopspar
