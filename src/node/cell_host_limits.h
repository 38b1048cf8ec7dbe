/// \file
/// Constants that the parts of CellHost share.

#pragma once

#include "hyssopspar/time.h"

namespace hyssopspar::node {

inline constexpr const char* kOwnerLogComponent = "owner";
/// Key of the owner record in the owner stream.
inline constexpr const char* kOwnerKey = "owner";
/// Time limit of one call to the store, and delay before it is repeated.
inline constexpr milliseconds kStoreTimeout{1500};
inline constexpr milliseconds kStoreRetryDelay{150};

}  // namespace hyssopspar::node
