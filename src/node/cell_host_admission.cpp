// Part of CellHost that publishes the load of the cell and answers other nodes'
// questions whether they may refuse a job.

#include <utility>

#include "node/cell_host.h"
#include "node/cell_host_limits.h"

namespace hyssopspar::node {

namespace {

/// Time limit of the read that shows whether a job is stored. Nodes wait little
/// longer for the answer.
constexpr milliseconds kAdmissionReadTimeout{200};

}  // namespace

void CellHost::PublishLoad(jobs::OwnerRecord* renewal, TimePoint now) {
  if (!m_settings.m_cell.m_measures_load) {
    return;
  }
  m_load = m_cell->SummarizeLoad(now);
  jobs::AverageAdmittedWork(&m_refusal_book, now - m_load_at);
  m_load_at = now;
  jobs::DropLapsedPromises(&m_refusal_book, now);
  jobs::LoadSummary published = m_load;
  jobs::AddPromisedWork(m_refusal_book, &published);
  jobs::AttachLoad(std::move(published), renewal);
}

void CellHost::AnswerAdmission(
    const jobs::AdmissionQuery& query,
    std::function<void(jobs::AdmissionAnswer)> done) {
  if (m_phase != Phase::kOwning || m_cell->StateOf(query.m_job) ||
      Clock::now() - m_load_at >= jobs::kMaxSummaryAge) {
    done({});
    return;
  }
  m_admission_queries.push_back({query, std::move(done)});
  if (!m_reading_for_admission) {
    ReadForAdmission();
  }
}

void CellHost::ReadForAdmission() {
  m_reading_for_admission = true;
  const TimePoint now = Clock::now();
  m_platform->Log().Read(
      PartitionOf(jobs::kJobStream), m_job_stream->Next(), milliseconds(0),
      now + kAdmissionReadTimeout,
      [this, generation = m_generation,
       queries =
           std::exchange(m_admission_queries, {})](Result<KeyedSlice> slice) {
        m_loop->Post([this, generation, queries, slice = std::move(slice)] {
          m_reading_for_admission = false;
          OnAdmissionRead(queries, generation == m_generation
                                       ? slice
                                       : Fail(ErrorCode::kUnavailable,
                                              "ownership has changed"));
        });
      });
}

void CellHost::OnAdmissionRead(const std::vector<AdmissionRequest>& queries,
                               const Result<KeyedSlice>& slice) {
  const TimePoint now = Clock::now();
  for (const AdmissionRequest& request : queries) {
    const std::string& job = request.m_query.m_job;
    const bool is_new = m_phase == Phase::kOwning &&
                        jobs::IsCertainlyNotStored(slice, job) &&
                        !m_cell->StateOf(job);
    request.m_done(is_new ? jobs::AnswerAdmission(&m_refusal_book, m_load,
                                                  now - m_load_at,
                                                  request.m_query, now)
                          : jobs::AdmissionAnswer());
  }
  if (m_admission_queries.empty()) {
    return;
  }
  if (m_phase == Phase::kOwning) {
    ReadForAdmission();
    return;
  }
  for (const AdmissionRequest& request :
       std::exchange(m_admission_queries, {})) {
    request.m_done({});
  }
}

}  // namespace hyssopspar::node
