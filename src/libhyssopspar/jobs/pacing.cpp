#include "hyssopspar/jobs/pacing.h"

#include <algorithm>

namespace hyssopspar::jobs {

namespace {

/// Tail over target above which filling tasks are cut back hard.
constexpr double kHighTail = 0.95;
/// Above this they are held; below kLowTail they may work more.
constexpr double kRaisedTail = 0.85;
constexpr double kLowTail = 0.7;
/// Below this percent a filling task is paused: it only costs its neighbours.
constexpr int kLeastPace = 10;
constexpr int kPaceStep = 15;

}  // namespace

int NextPace(int pace, double tail_ratio) {
  if (tail_ratio > kHighTail) {
    const int halved = pace / 2;
    return halved < kLeastPace ? 0 : halved;
  }
  if (tail_ratio > kRaisedTail) {
    return pace;
  }
  if (tail_ratio < kLowTail) {
    return std::min(kFullPace, pace + kPaceStep);
  }
  return pace;
}

}  // namespace hyssopspar::jobs
