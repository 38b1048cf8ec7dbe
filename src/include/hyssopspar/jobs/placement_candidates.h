/// \file
/// Workers that may take the tasks of one step, kept while its tasks are
/// placed one after the other.

#pragma once

#include <cstddef>
#include <vector>

#include "hyssopspar/jobs/placement.h"

namespace hyssopspar::jobs {

/// Evaluates each worker once, and again only after a task was placed on it.
class PlacementCandidates {
 public:
  /// Evaluates the workers of \p pool, a list of worker indexes in ascending
  /// order. \p workers and \p query must outlive the object.
  PlacementCandidates(const std::vector<Worker>* workers,
                      const std::vector<int>& pool,
                      const PlacementQuery* query);

  /// Index of the best worker for a task whose earlier runs failed on the
  /// workers \p failed_on, or kNoWorker.
  int Best(const std::vector<int>& failed_on) const;

  /// Evaluates a worker again.
  void Update(int worker);
  /// Evaluates all candidates again.
  void UpdateAll();

  /// Number of evaluations so far.
  std::size_t Evaluations() const { return m_evaluations; }

 private:
  struct Candidate {
    int m_worker = kNoWorker;
    double m_score = 0;
  };

  /// Replaces the candidate's score; false if the worker is not eligible.
  bool Evaluate(Candidate* candidate);

  const std::vector<Worker>* m_workers;
  const PlacementQuery* m_query;
  std::vector<Candidate> m_candidates;  ///< In ascending order of the index.
  std::size_t m_evaluations = 0;
};

}  // namespace hyssopspar::jobs
