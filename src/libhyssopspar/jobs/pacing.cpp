#include "hyssopspar/jobs/pacing.h"

#include <algorithm>
#include <cmath>

namespace hyssopspar::jobs {

namespace {

/// Tail over target above which tasks beside it are slowed, what they are
/// slowed to, and below which they may speed up.
constexpr double kHighTail = 0.92;
constexpr double kWantedTail = 0.78;
constexpr double kLowTail = 0.7;
/// Below this percent a task is paused: it only costs its neighbours.
constexpr int kLeastPace = 10;
/// Tail over target at which slopes are no longer trusted.
constexpr double kAlarmTail = 1.5;

/// Rise of the tail for each percent of pace.
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

/// Lowers paces, heaviest presser first, until \p tail is expected at the
/// wanted ratio.
void SlowDown(const InterferenceModel& model,
              const ServedTail& tail,
              std::vector<FillTask*>* by_weight) {
  double excess = tail.m_ratio - kWantedTail;
  const bool alarm = tail.m_ratio > kAlarmTail;
  for (FillTask* const fill : *by_weight) {
    const double rise = RisePerPercent(model, tail, *fill);
    excess -= rise * (fill->m_percent - fill->m_wanted);
  }
  for (auto it = by_weight->rbegin(); it != by_weight->rend(); ++it) {
    FillTask& fill = **it;
    const double rise = RisePerPercent(model, tail, fill);
    if (excess <= 0 || rise <= 0) {
      continue;
    }
    int cut = static_cast<int>(std::ceil(excess / rise));
    int pace = fill.m_wanted - std::min(cut, fill.m_wanted);
    pace = pace < kLeastPace || alarm ? 0 : pace;
    cut = fill.m_wanted - pace;
    excess -= rise * cut;
    fill.m_wanted = pace;
  }
}

}  // namespace

void ChoosePaces(const InterferenceModel& model,
                 const std::vector<ServedTail>& tails,
                 std::vector<FillTask>* fills) {
  std::vector<FillTask*> by_weight;
  for (FillTask& fill : *fills) {
    fill.m_wanted = fill.m_percent;
    by_weight.push_back(&fill);
  }
  std::sort(by_weight.begin(), by_weight.end(),
            [&](const FillTask* a, const FillTask* b) {
              return WorstRise(model, tails, *a) < WorstRise(model, tails, *b);
            });
  double highest = 0;
  for (const ServedTail& tail : tails) {
    highest = std::max(highest, tail.m_ratio);
    if (tail.m_ratio > kHighTail) {
      SlowDown(model, tail, &by_weight);
    }
  }
  if (highest >= kLowTail) {
    return;
  }
  double room = kWantedTail - highest;
  for (FillTask* const fill : by_weight) {
    const double rise = WorstRise(model, tails, *fill);
    const int missing = kFullPace - fill->m_percent;
    const int more =
        rise * missing <= room ? missing : static_cast<int>(room / rise);
    fill->m_wanted = fill->m_percent + more;
    fill->m_wanted = fill->m_wanted < kLeastPace ? 0 : fill->m_wanted;
    room -= rise * more;
  }
}

double ExpectedTail(const InterferenceModel& model,
                    const std::vector<ServedTail>& tails,
                    const std::string& filling,
                    double share) {
  double worst = 0;
  for (const ServedTail& tail : tails) {
    worst = std::max(
        worst, tail.m_ratio + model.Slope(tail.m_image, filling) * share);
  }
  return worst;
}

}  // namespace hyssopspar::jobs
