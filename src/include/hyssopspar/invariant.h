/// \file
/// Invariants asserted inside the programs, in all builds.

#pragma once

namespace hyssopspar {

namespace pvt {
/// Logs the broken invariant and ends the process.
[[noreturn]] void InvariantFailed(const char* condition,
                                  const char* file,
                                  int line);
}  // namespace pvt

}  // namespace hyssopspar

/// Ends the process when \p condition is false: a wrong decision is worse than
/// a restart, after which the state is replayed from the log.
#define HYSSOPSPAR_INVARIANT(condition)                                   \
  do {                                                                    \
    if (!(condition)) {                                                   \
      ::hyssopspar::pvt::InvariantFailed(#condition, __FILE__, __LINE__); \
    }                                                                     \
  } while (false)
