#include "hyssopspar/error.h"

namespace hyssopspar {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid-argument";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotSent:
      return "not-sent";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kConnectionLost:
      return "connection-lost";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kQueueFull:
      return "queue-full";
    case ErrorCode::kTooLarge:
      return "too-large";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kInvariant:
      return "invariant";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
  }
  return "unknown";
}

std::string ToString(const Error& error) {
  return std::string(ToString(error.m_code)) + ": " + error.m_detail;
}

bool IsConnectionRefused(const Error& error) {
  return error.m_code == ErrorCode::kNotSent &&
         error.m_detail == "Connection refused";
}

}  // namespace hyssopspar
