#include "hyssopspar/jobs/start_window.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

constexpr std::size_t kMinLimit = 16;
constexpr std::size_t kMaxLimit = 8192;
constexpr milliseconds kAdaptationInterval{100};
/// Mean confirmation time above which the limit decreases; a fraction of the
/// shortest completion objectives.
constexpr milliseconds kLongConfirmTime{80};

}  // namespace

void AddConfirmation(StartWindow* window,
                     Duration confirm_time,
                     TimePoint now) {
  window->m_confirm_time += confirm_time;
  ++window->m_confirmed;
  if (now < window->m_next_adaptation) {
    return;
  }
  const Duration mean =
      window->m_confirm_time / static_cast<std::int64_t>(window->m_confirmed);
  if (mean > kLongConfirmTime) {
    window->m_limit = std::max(kMinLimit, window->m_limit * 3 / 4);
  } else if (window->m_was_reached) {
    window->m_limit = std::min(kMaxLimit, window->m_limit * 9 / 8 + 1);
  }
  window->m_was_reached = false;
  window->m_confirm_time = Duration::zero();
  window->m_confirmed = 0;
  window->m_next_adaptation = now + kAdaptationInterval;
}

std::size_t RemainingStarts(StartWindow* window, std::size_t in_progress) {
  if (in_progress < window->m_limit) {
    return window->m_limit - in_progress;
  }
  window->m_was_reached = true;
  return 0;
}

}  // namespace hyssopspar::jobs
