/// \file
/// Bodies of messages as the platform's clients and workers send them.

#pragma once

namespace review {

/// A job with one short task.
inline constexpr const char* kSmallJob =
    R"({"spec":"work=10","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":10}]})";

/// A job with optional fields.
inline constexpr const char* kLastingJob =
    R"({"spec":"work=10","steps":[{"count":2,"cpu":1000,"memMb":100,)"
    R"("estimateMs":10,"requirements":"a=b","longRunning":true}]})";

/// A worker's lists of runs.
inline constexpr const char* kRunLists =
    R"({"clockMs":1,"running":[{"task":"a"}],"ended":[]})";

}  // namespace review
