/// \file
/// How much idle-filling tasks may work beside tasks that serve.

#pragma once

namespace hyssopspar::jobs {

inline constexpr int kFullPace = 100;

/// Next percent for the idle-filling tasks of a worker whose worst served tail
/// is \p tail_ratio times its target. Falls fast and rises slowly.
int NextPace(int pace, double tail_ratio);

}  // namespace hyssopspar::jobs
