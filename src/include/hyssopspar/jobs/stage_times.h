/// \file
/// Times that tasks spend in the stages between the acceptance of their job and
/// the confirmed start of their run.

#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

enum class Stage : std::size_t {
  kRead,     ///< From the acceptance of the job until the owner has read it.
  kPlace,    ///< From the first pass that finds the step ready to a placement.
  kStore,    ///< From the placement until it is stored and the start is sent.
  kConfirm,  ///< From the sending of the start until a worker confirms it.
};
inline constexpr std::size_t kStageCount = 4;

/// Name of a stage as used in logs and metrics.
const char* ToString(Stage stage);

struct StageTime {
  std::size_t m_count = 0;
  Duration m_total{0};
  Duration m_longest{0};
};

/// Times of one queue, by stage.
using QueueStageTimes = std::array<StageTime, kStageCount>;

/// Times by queue.
using StageTimes = std::map<std::string, QueueStageTimes>;

void AddStageTime(StageTimes* times,
                  const std::string& queue,
                  Stage stage,
                  Duration time);

}  // namespace hyssopspar::jobs
