#include "hyssopspar/jobs/stage_times.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

constexpr std::array<const char*, kStageCount> kStageNames = {
    "read", "place", "store", "confirm"};

}  // namespace

const char* ToString(Stage stage) {
  return kStageNames[static_cast<std::size_t>(stage)];
}

void AddStageTime(StageTimes* times,
                  const std::string& queue,
                  Stage stage,
                  Duration time) {
  StageTime& entry = (*times)[queue][static_cast<std::size_t>(stage)];
  ++entry.m_count;
  entry.m_total += time;
  entry.m_longest = std::max(entry.m_longest, time);
}

}  // namespace hyssopspar::jobs
