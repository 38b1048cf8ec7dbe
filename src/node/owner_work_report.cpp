#include "node/owner_work_report.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "owner";
constexpr milliseconds kLogInterval{1000};

Duration MeanOf(Duration total, std::size_t count) {
  return count == 0 ? Duration::zero()
                    : total / static_cast<std::int64_t>(count);
}

}  // namespace

void OwnerWorkReport::AddQueueTime(Duration waited) {
  ++m_interval.m_answers;
  m_interval.m_queue_time += waited;
  m_interval.m_longest_queue_time =
      std::max(m_interval.m_longest_queue_time, waited);
}

void OwnerWorkReport::AddRound(Duration decide_cpu, Duration dispatch_cpu) {
  ++m_interval.m_rounds;
  m_interval.m_decide_cpu += decide_cpu;
  m_interval.m_longest_decide_cpu =
      std::max(m_interval.m_longest_decide_cpu, decide_cpu);
  m_interval.m_dispatch_cpu += dispatch_cpu;
}

void OwnerWorkReport::AddStages(const jobs::StageTimes& stages,
                                Metrics* metrics) {
  for (const std::pair<const std::string, jobs::QueueStageTimes>& queue :
       stages) {
    for (std::size_t i = 0; i < jobs::kStageCount; ++i) {
      const jobs::StageTime& added = queue.second[i];
      if (added.m_count == 0) {
        continue;
      }
      jobs::StageTime& entry = m_interval.m_stages[queue.first][i];
      entry.m_count += added.m_count;
      entry.m_total += added.m_total;
      entry.m_longest = std::max(entry.m_longest, added.m_longest);
      const std::string labels =
          FormatMetricLabel("queue", queue.first) + "," +
          FormatMetricLabel("stage",
                            jobs::ToString(static_cast<jobs::Stage>(i)));
      metrics->Histogram("hyssopspar_stage_seconds", labels)
          .Add(MeanOf(added.m_total, added.m_count));
    }
  }
}

void OwnerWorkReport::SetReservations(const jobs::ReservationState& state,
                                      Metrics* metrics) {
  const jobs::ReservationSummary summary = jobs::Summarize(state.m_holds);
  metrics->Value("hyssopspar_reservations") =
      static_cast<std::int64_t>(summary.m_count);
  metrics->Value("hyssopspar_reserved_cpu_milli") =
      summary.m_reserved_cpu_milli;
  metrics->Value("hyssopspar_reservation_idle_core_ms_total") =
      static_cast<std::int64_t>(state.m_idle_core_ms);
  const jobs::ReservationCounts& counts = state.m_counts;
  for (const std::pair<const char*, std::uint64_t>& outcome :
       {std::pair<const char*, std::uint64_t>{"granted", counts.m_granted},
        {"used", counts.m_used},
        {"expired", counts.m_expired},
        {"lost", counts.m_lost},
        {"uneconomic", counts.m_uneconomic},
        {"superseded", counts.m_superseded}}) {
    metrics->Value("hyssopspar_reservation_changes_total",
                   FormatMetricLabel("change", outcome.first)) =
        static_cast<std::int64_t>(outcome.second);
  }
}

bool OwnerWorkReport::LogWhenDue(const jobs::CellWork& total, TimePoint now) {
  if (now < m_logged_at + kLogInterval) {
    return false;
  }
  Log(kLogComponent)
      ->info(
          "work span_ms={} passes={} jobs_ordered={} worker_visits={} "
          "placed={} starts={} reports={} answers={} queue_mean_us={} "
          "queue_max_us={} rounds={} decide_cpu_ms={} decide_max_us={} "
          "dispatch_cpu_ms={}",
          ToMillis(now - m_logged_at), total.m_passes - m_logged_work.m_passes,
          total.m_jobs_ordered - m_logged_work.m_jobs_ordered,
          total.m_worker_visits - m_logged_work.m_worker_visits,
          total.m_tasks_placed - m_logged_work.m_tasks_placed,
          total.m_starts - m_logged_work.m_starts,
          total.m_reports - m_logged_work.m_reports, m_interval.m_answers,
          ToMicros(MeanOf(m_interval.m_queue_time, m_interval.m_answers)),
          ToMicros(m_interval.m_longest_queue_time), m_interval.m_rounds,
          ToMillis(m_interval.m_decide_cpu),
          ToMicros(m_interval.m_longest_decide_cpu),
          ToMillis(m_interval.m_dispatch_cpu));
  LogStages();
  m_logged_work = total;
  m_logged_at = now;
  m_interval = Interval();
  return true;
}

void OwnerWorkReport::LogStages() const {
  for (const std::pair<const std::string, jobs::QueueStageTimes>& queue :
       m_interval.m_stages) {
    std::string text;
    for (std::size_t i = 0; i < jobs::kStageCount; ++i) {
      const jobs::StageTime& time = queue.second[i];
      text += std::string(" ") + jobs::ToString(static_cast<jobs::Stage>(i)) +
              "_ms=" +
              std::to_string(ToMillis(MeanOf(time.m_total, time.m_count))) +
              "/" + std::to_string(ToMillis(time.m_longest)) + "/" +
              std::to_string(time.m_count);
    }
    Log(kLogComponent)->info("stages queue={}{}", queue.first, text);
  }
}

}  // namespace hyssopspar::node
