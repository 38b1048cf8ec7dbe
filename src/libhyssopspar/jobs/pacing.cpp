#include "hyssopspar/jobs/pacing.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Tail over target above which tasks beside it are slowed, what they are
/// slowed to, and below which they may speed up.
constexpr double kHighTail = 0.85;
constexpr double kWantedTail = 0.7;
constexpr double kLowTail = 0.65;
/// Below this percent a task is paused: it only costs its neighbours.
constexpr int kLeastPace = 15;
/// A task whose full pace raises the logarithm of the tail by less is not the
/// cause of a high one.
constexpr double kLeastRise = 0.05;

/// Rise of the tail's logarithm for each percent of pace.
double RisePerPercent(const InterferenceModel& model,
                      const ServedTail& tail,
                      const FillTask& fill) {
  return model.Slope(tail.m_image, fill.m_image) * fill.m_share / kFullPace;
}

double WorstRise(const InterferenceModel& model,
                 const std::vector<ServedTail>& tails,
                 const FillTask& fill) {
  double worst = 0;
  for (const ServedTail& tail : tails) {
    worst = std::max(worst, RisePerPercent(model, tail, fill));
  }
  return worst;
}

int WholePace(int pace) {
  return pace < kLeastPace ? 0 : pace;
}

/// Lowers paces, heaviest presser first, until \p tail is expected at the
/// wanted ratio.
void SlowDown(const InterferenceModel& model,
              const ServedTail& tail,
              const std::vector<FillTask*>& by_weight) {
  double excess = std::log(tail.m_ratio / kWantedTail);
  for (const FillTask* const fill : by_weight) {
    excess -=
        RisePerPercent(model, tail, *fill) * (fill->m_percent - fill->m_wanted);
  }
  for (auto it = by_weight.rbegin(); it != by_weight.rend(); ++it) {
    FillTask& fill = **it;
    const double rise = RisePerPercent(model, tail, fill);
    if (excess <= 0 || rise * kFullPace < kLeastRise) {
      continue;
    }
    const int cut =
        std::min(static_cast<int>(std::ceil(excess / rise)), fill.m_wanted);
    const int pace = WholePace(fill.m_wanted - cut);
    excess -= rise * (fill.m_wanted - pace);
    fill.m_wanted = pace;
  }
}

/// Raises paces, gentlest presser first, as far as \p room allows.
void SpeedUp(const InterferenceModel& model,
             const std::vector<ServedTail>& tails,
             double room,
             const std::vector<FillTask*>& by_weight) {
  for (FillTask* const fill : by_weight) {
    const double rise = WorstRise(model, tails, *fill);
    const int missing = kFullPace - fill->m_percent;
    const int more =
        rise * missing <= room ? missing : static_cast<int>(room / rise);
    const int pace = WholePace(fill->m_percent + more);
    room -= rise * (pace - fill->m_percent);
    fill->m_wanted = pace;
  }
}

}  // namespace

void ChoosePaces(const InterferenceModel& model,
                 const std::vector<ServedTail>& tails,
                 bool pause_all,
                 std::vector<FillTask>* fills) {
  std::vector<FillTask*> by_weight;
  for (FillTask& fill : *fills) {
    fill.m_wanted = pause_all ? 0 : fill.m_percent;
    by_weight.push_back(&fill);
  }
  if (pause_all) {
    return;
  }
  std::sort(by_weight.begin(), by_weight.end(),
            [&](const FillTask* a, const FillTask* b) {
              return WorstRise(model, tails, *a) < WorstRise(model, tails, *b);
            });
  double highest = 0;
  for (const ServedTail& tail : tails) {
    highest = std::max(highest, tail.m_ratio);
    if (tail.m_ratio > kHighTail) {
      SlowDown(model, tail, by_weight);
    }
  }
  if (highest < kLowTail) {
    const double room =
        highest > 0 ? std::log(kWantedTail / highest) : kFullPace;
    SpeedUp(model, tails, room, by_weight);
  }
}

}  // namespace hyssopspar::jobs
