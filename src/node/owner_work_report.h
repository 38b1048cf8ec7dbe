/// \file
/// Measures how the owner of a cell spends its processor time and how far it
/// lags behind the events.

#pragma once

#include <cstddef>

#include "hyssopspar/jobs/cell_work.h"
#include "hyssopspar/jobs/reservation/reservation_plan.h"
#include "hyssopspar/jobs/stage_times.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/time.h"

namespace hyssopspar::node {

/// Collects measurements of one owner and writes them to the log once a second.
/// All calls on the loop's thread.
class OwnerWorkReport {
 public:
  /// Adds the time that an answer has waited for the loop.
  void AddQueueTime(Duration waited);
  /// Adds one round of decisions: the processor time of the cell and that of
  /// passing on its actions.
  void AddRound(Duration decide_cpu, Duration dispatch_cpu);
  /// Adds \p stages to the metrics.
  void AddStages(const jobs::StageTimes& stages, Metrics* metrics);
  /// Sets the metrics of reservations for large tasks.
  void SetReservations(const jobs::ReservationState& state, Metrics* metrics);
  /// Logs the measurements since the last line, at most once a second.
  /// \p total is the work of the cell since it was created. True if it did.
  bool LogWhenDue(const jobs::CellWork& total, TimePoint now);

 private:
  /// Measurements since the last line.
  struct Interval {
    std::size_t m_answers = 0;
    Duration m_queue_time{0};
    Duration m_longest_queue_time{0};
    std::size_t m_rounds = 0;
    Duration m_decide_cpu{0};
    Duration m_longest_decide_cpu{0};
    Duration m_dispatch_cpu{0};
    jobs::StageTimes m_stages;
  };

  void LogStages() const;

  Interval m_interval;
  jobs::CellWork m_logged_work;
  TimePoint m_logged_at;
};

}  // namespace hyssopspar::node
