#include "hyssopspar/jobs/job_progress.h"

#include <array>

namespace hyssopspar::jobs {

namespace {

constexpr std::array<const char*, 5> kJobStateNames = {
    "queued", "running", "completed", "failed", "cancelled"};

}  // namespace

const char* ToString(JobState state) {
  return kJobStateNames[static_cast<std::size_t>(state) %
                        kJobStateNames.size()];
}

std::optional<JobState> ParseJobState(const std::string& name) {
  for (std::size_t i = 0; i < kJobStateNames.size(); ++i) {
    if (name == kJobStateNames[i]) {
      return static_cast<JobState>(i);
    }
  }
  return std::nullopt;
}

}  // namespace hyssopspar::jobs
