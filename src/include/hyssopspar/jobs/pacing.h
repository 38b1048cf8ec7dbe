/// \file
/// How much idle-filling tasks may work beside tasks that serve.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/jobs/interference.h"

namespace hyssopspar::jobs {

inline constexpr int kFullPace = 100;

/// Worst tail of the tasks of one serving image on a worker.
struct ServedTail {
  std::string m_image;
  double m_ratio = 0;  ///< Over its target.
};

/// An idle-filling task as the worker reported it.
struct FillTask {
  std::string m_image;
  double m_share = 0;  ///< Of the worker's processors, at full pace.
  int m_percent = kFullPace;
  int m_wanted = kFullPace;  ///< Set by ChoosePaces.
};

/// Sets m_wanted of each task so that no tail is expected above its target.
/// The tasks that press most are slowed first, and the gentlest sped up first;
/// with \p pause_all none works.
void ChoosePaces(const InterferenceModel& model,
                 const std::vector<ServedTail>& tails,
                 bool pause_all,
                 std::vector<FillTask>* fills);

}  // namespace hyssopspar::jobs
