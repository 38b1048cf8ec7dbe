/// \file
/// Error codes and the result type used throughout the library.

#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopspar {

/// Ways in which an operation of the library can fail.
enum class ErrorCode {
  kInvalidArgument,
  kMalformed,  ///< The bytes are not a message of the expected form.
  kNotFound,
  kConflict,        ///< A compare-and-set failed: another writer was first.
  kNotSent,         ///< The request certainly did not reach the peer.
  kTimeout,         ///< No answer before the deadline; the effect is unknown.
  kConnectionLost,  ///< The connection ended after the request was sent.
  kUnavailable,     ///< The peer answered that it can't serve now.
  kQueueFull,
  kTooLarge,
  kFenced,           ///< A writer with a higher epoch has taken over.
  kInvariant,        ///< A state invariant does not hold.
  kUnauthenticated,  ///< No valid credentials.
};

/// Name of \p code in lower case with dashes, as printed in logs and answers.
std::string_view ToString(ErrorCode code);

/// A failure: its code, and a description for a human reader.
struct Error {
  ErrorCode m_code = ErrorCode::kInvalidArgument;
  std::string m_detail;
};

/// Formats \p error as "code: detail".
std::string ToString(const Error& error);

/// True if the peer's host answered that nothing listens at the address, unlike
/// for a connection that could not be established in time.
bool IsConnectionRefused(const Error& error);

/// Holds a value or an Error. Accessing the one that is absent terminates the
/// process.
template <class T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Makes a failed Result.
inline auto Fail(ErrorCode code, std::string detail)
    -> decltype(boost::outcome_v2::failure(Error{})) {
  return boost::outcome_v2::failure(Error{code, std::move(detail)});
}

/// Makes a successful Result<void>.
inline auto Ok() -> decltype(boost::outcome_v2::success()) {
  return boost::outcome_v2::success();
}

}  // namespace hyssopspar
