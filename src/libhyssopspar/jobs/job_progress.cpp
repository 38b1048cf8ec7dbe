#include "hyssopspar/jobs/job_progress.h"

#include <array>

namespace hyssopspar::jobs {

namespace {

constexpr std::array<const char*, 5> kStateWords = {
    "queued", "running", "completed", "failed", "cancelled"};

}  // namespace

const char* ToString(JobState state) {
  return kStateWords[static_cast<std::size_t>(state) % kStateWords.size()];
}

std::optional<JobState> ParseJobState(const std::string& word) {
  for (std::size_t i = 0; i < kStateWords.size(); ++i) {
    if (word == kStateWords[i]) {
      return static_cast<JobState>(i);
    }
  }
  return std::nullopt;
}

}  // namespace hyssopspar::jobs
