/// \file
/// Assertion of invariants that is active in all builds.

#pragma once

namespace hyssopspar {

namespace pvt {
/// Logs the violated invariant and aborts the process.
[[noreturn]] void InvariantFailed(const char* condition,
                                  const char* file,
                                  int line);
}  // namespace pvt

}  // namespace hyssopspar

/// Aborts the process when \p condition is false. A wrong decision does more
/// harm than a restart, after which the state is replayed from the log.
#define HYSSOPSPAR_INVARIANT(condition)                                   \
  do {                                                                    \
    if (!(condition)) {                                                   \
      ::hyssopspar::pvt::InvariantFailed(#condition, __FILE__, __LINE__); \
    }                                                                     \
  } while (false)
