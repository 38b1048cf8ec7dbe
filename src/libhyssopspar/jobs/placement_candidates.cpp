#include "hyssopspar/jobs/placement_candidates.h"

#include <algorithm>
#include <optional>

#include "hyssopspar/jobs/task.h"

namespace hyssopspar::jobs {

PlacementCandidates::PlacementCandidates(const std::vector<Worker>* workers,
                                         const std::vector<int>& pool,
                                         const PlacementQuery* query)
    : m_workers(workers), m_query(query) {
  for (const int worker : pool) {
    Candidate candidate;
    candidate.m_worker = worker;
    if (Evaluate(&candidate)) {
      m_candidates.push_back(candidate);
    }
  }
}

bool PlacementCandidates::Evaluate(Candidate* candidate) {
  ++m_evaluations;
  const std::optional<double> score =
      ScoreOf((*m_workers)[static_cast<std::size_t>(candidate->m_worker)],
              static_cast<std::size_t>(candidate->m_worker), *m_query);
  candidate->m_score = score.value_or(0);
  return score.has_value();
}

int PlacementCandidates::Best(const std::vector<int>& failed_on) const {
  const Candidate* best = nullptr;
  double best_score = 0;
  for (const Candidate& candidate : m_candidates) {
    const bool failed =
        !failed_on.empty() && std::find(failed_on.begin(), failed_on.end(),
                                        candidate.m_worker) != failed_on.end();
    const double score = candidate.m_score - (failed ? kFailurePenalty : 0);
    if (best == nullptr || score > best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  return best == nullptr ? kNoWorker : best->m_worker;
}

void PlacementCandidates::Update(int worker) {
  const auto it =
      std::lower_bound(m_candidates.begin(), m_candidates.end(), worker,
                       [](const Candidate& candidate, int index) {
                         return candidate.m_worker < index;
                       });
  if (it != m_candidates.end() && it->m_worker == worker && !Evaluate(&*it)) {
    m_candidates.erase(it);
  }
}

void PlacementCandidates::UpdateAll() {
  m_candidates.erase(std::remove_if(m_candidates.begin(), m_candidates.end(),
                                    [this](Candidate& candidate) {
                                      return !Evaluate(&candidate);
                                    }),
                     m_candidates.end());
}

}  // namespace hyssopspar::jobs
