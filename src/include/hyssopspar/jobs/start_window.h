/// \file
/// Limit of the starts in progress, which keeps the owner responsive when its
/// processor or its connections are short.

#pragma once

#include <cstddef>

#include "hyssopspar/time.h"

namespace hyssopspar::jobs {

/// Adapts to the time in which starts are confirmed: increases while that is
/// short, decreases while it is long. Tasks of the most urgent queues are
/// exempt; all others are placed only while fewer starts are in progress.
struct StartWindow {
  std::size_t m_limit = 256;
  bool m_was_reached = false;  ///< Since the last adaptation.
  Duration m_confirm_time{0};  ///< Total since the last adaptation.
  std::size_t m_confirmed = 0;
  TimePoint m_next_adaptation;
};

/// Adds a start that was confirmed \p confirm_time after its order was sent.
void AddConfirmation(StartWindow* window, Duration confirm_time, TimePoint now);

/// Number of starts that may be added to \p in_progress.
std::size_t RemainingStarts(StartWindow* window, std::size_t in_progress);

}  // namespace hyssopspar::jobs
