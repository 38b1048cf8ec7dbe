// SchedSimulation: faults, and actions of operators and submitters.

#include <algorithm>
#include <utility>

#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

void SchedSimulation::BeginShutdown(int process) {
  if (m_processes[process].m_alive) {
    m_processes[process].m_scheduler->BeginShutdown();
    m_processes[process].m_leaving = true;
  }
}

void SchedSimulation::Freeze(int process, Duration span) {
  m_processes[process].m_frozen_until = m_now + span;
}

void SchedSimulation::SetLogUnreachable(int process, bool unreachable) {
  m_processes[process].m_log_unreachable = unreachable;
}

void SchedSimulation::RebootWorker(int worker) {
  standin::RebootWorker(&m_workers[worker], m_now);
}

void SchedSimulation::SetWorkerUnresponsive(int worker, bool unresponsive) {
  m_unresponsive[worker] =
      unresponsive || m_vms[worker].m_state == VmState::kDead;
}

void SchedSimulation::SetWorkerFailsAll(int worker, bool fails) {
  standin::AdvanceWorker(&m_workers[worker], m_now);
  m_workers[worker].m_fails_all_tasks = fails;
}

void SchedSimulation::SetWorkerDead(int worker, bool dead) {
  if (dead) {
    standin::RebootWorker(&m_workers[worker], m_now);
  }
  m_unresponsive[worker] = dead;
  m_vms[worker].m_state = dead ? VmState::kDead : VmState::kLive;
}

void SchedSimulation::ApplyConfigRecord(const ConfigRecord& record) {
  ApplyConfig(&m_reference_config, m_reference_config.m_next, record);
  for (OutOfServiceSpan& span : m_out_of_service_spans) {
    const bool back_in_service =
        span.m_to == TimePoint::max() &&
        m_reference_config.m_out_of_service.count(span.m_name) == 0;
    if (back_in_service) {
      span.m_to = m_now;
    }
  }
  for (const std::string& name : m_reference_config.m_out_of_service) {
    const bool has_open_span = std::any_of(
        m_out_of_service_spans.begin(), m_out_of_service_spans.end(),
        [&name](const OutOfServiceSpan& span) {
          return span.m_name == name && span.m_to == TimePoint::max();
        });
    if (!has_open_span) {
      m_out_of_service_spans.push_back(
          OutOfServiceSpan{name, m_now, TimePoint::max()});
    }
  }
}

void SchedSimulation::AppendConfigRecord(const ConfigRecord& record) {
  // Snapshots appended by schedulers may precede this record. They do not
  // change the configuration, so the reference state skips them.
  m_reference_config.m_next =
      standin::AppendRecord(&m_log, kConfigStream, EncodeConfig(record));
  ApplyConfigRecord(record);
}

void SchedSimulation::SetOutOfService(int domain, bool out_of_service) {
  if (!m_log_down) {
    AppendConfigRecord(ConfigDrain{DomainName(domain), out_of_service});
  }
}

void SchedSimulation::PublishConcurrently() {
  if (m_log_down) {
    return;
  }
  // The second publish has the same base revision and therefore conflicts.
  ConfigPublish publish;
  publish.m_base_revision = m_reference_config.m_revision;
  publish.m_doc = m_reference_config.m_doc;
  AppendConfigRecord(publish);
  ConfigPublish conflicting = publish;
  conflicting.m_doc.m_failure_domains.clear();
  AppendConfigRecord(conflicting);
}

void SchedSimulation::Submit(std::uint32_t tasks,
                             std::int64_t cpu_milli,
                             milliseconds run_time) {
  if (m_log_down) {
    return;
  }
  JobSpec spec;
  spec.m_tenant = m_jobs.size() % 2 == 0 ? "a" : "b";
  spec.m_id = MakeJobId(spec.m_tenant, std::to_string(m_jobs.size()));
  spec.m_tasks = tasks;
  spec.m_size = Resources{cpu_milli, cpu_milli, 0};
  spec.m_run_time = run_time;
  const std::string payload =
      EncodeBatch(Batch{0, 0, 0, {Decision(JobAdmit{spec})}});
  const std::string stream =
      CellStream(HomeCell(m_reference_config.m_doc, spec.m_id));
  // For every third job the answer is lost, and the submitter retries.
  AppendToLog(stream, payload);
  if (spec.m_id % 3 == 0) {
    Schedule(-1, std::chrono::seconds(2),
             [this, stream, payload] { AppendToLog(stream, payload); });
  }
  m_jobs.emplace_back(spec.m_id, tasks);
}

void SchedSimulation::CancelNextJob() {
  if (m_log_down || m_next_cancel >= m_jobs.size()) {
    return;
  }
  const JobId job = m_jobs[m_next_cancel].first;
  m_next_cancel += 2;  // The other jobs run to completion.
  m_cancelled.insert(job);
  AppendToLog(CellStream(HomeCell(m_reference_config.m_doc, job)),
              EncodeBatch(Batch{0, 0, 0, {Decision(JobCancel{job})}}));
}

void SchedSimulation::ClearFaults() {
  m_log_down = false;
  m_answer_loss_rate = 0;
  m_append_delay = milliseconds(5);
  for (int i = 0; i < Workers(); ++i) {
    SetWorkerDead(i, false);
    SetWorkerFailsAll(i, false);
  }
  for (int d = 0; d < Domains(); ++d) {
    SetOutOfService(d, false);
  }
  for (int i = 0; i < Schedulers(); ++i) {
    SetLogUnreachable(i, false);
    m_processes[i].m_frozen_until = TimePoint();
    if (!m_processes[i].m_alive || m_processes[i].m_leaving) {
      Restart(i);
    }
  }
}

}  // namespace hyssopspar::testsuite
