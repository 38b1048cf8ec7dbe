/// \file
/// Typed errors and the result type used throughout the library.

#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopspar {

/// Every way in which an operation of the library can fail.
enum class ErrorCode {
  kInvalidArgument,
  kMalformed,  ///< Bytes that do not parse as the expected message.
  kNotFound,
  kConflict,        ///< A compare-and-set lost against another writer.
  kNotSent,         ///< The request certainly did not reach the peer.
  kTimeout,         ///< No answer before the deadline; the effect is unknown.
  kConnectionLost,  ///< The connection ended after the request was sent.
  kUnavailable,     ///< The peer answered that it can't serve now.
  kQueueFull,
  kTooLarge,
  kFenced,     ///< A writer with a higher epoch has taken over.
  kInvariant,  ///< A state invariant does not hold.
};

/// Name of a code in lower case with dashes, as printed in logs and answers.
std::string_view ToString(ErrorCode code);

/// A failure: its type, and a detail meant for a person.
struct Error {
  ErrorCode m_code = ErrorCode::kInvalidArgument;
  std::string m_detail;
};

/// "code: detail".
std::string ToString(const Error& error);

/// Value or Error. Reading the absent side ends the process.
template <class T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Builds the failed side of a Result.
inline auto Fail(ErrorCode code, std::string detail)
    -> decltype(boost::outcome_v2::failure(Error{})) {
  return boost::outcome_v2::failure(Error{code, std::move(detail)});
}

/// The successful side of a Result<void>.
inline auto Ok() -> decltype(boost::outcome_v2::success()) {
  return boost::outcome_v2::success();
}

}  // namespace hyssopspar
