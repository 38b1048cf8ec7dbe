// Faults, operators and submitters of the world.

#include <algorithm>
#include <utility>

#include "sched_state/sched_world.h"

namespace hyssopspar::testsuite {

void SchedWorld::Leave(int process) {
  if (m_processes[process].m_alive) {
    m_processes[process].m_scheduler->Leave();
    m_processes[process].m_leaving = true;
  }
}

void SchedWorld::Freeze(int process, Duration span) {
  m_processes[process].m_frozen_until = m_now + span;
}

void SchedWorld::SetCut(int process, bool cut) {
  m_processes[process].m_cut = cut;
}

void SchedWorld::RebootWorker(int worker) {
  standin::RebootWorker(&m_workers[worker], m_now);
}

void SchedWorld::SetWorkerSilent(int worker, bool silent) {
  m_silent[worker] = silent || m_vms[worker].m_state == VmState::kDead;
}

void SchedWorld::SetWorkerFailsAll(int worker, bool fails) {
  standin::AdvanceWorker(&m_workers[worker], m_now);
  m_workers[worker].m_fails_all = fails;
}

void SchedWorld::SetWorkerDead(int worker, bool dead) {
  if (dead) {
    standin::RebootWorker(&m_workers[worker], m_now);
  }
  m_silent[worker] = dead;
  m_vms[worker].m_state = dead ? VmState::kDead : VmState::kLive;
}

void SchedWorld::NoteConfig(const ConfigRecord& record) {
  ApplyConfig(&m_true_config, m_true_config.m_next, record);
  for (OutSpan& span : m_outs) {
    const bool ended = span.m_to == TimePoint::max() &&
                       m_true_config.m_out.count(span.m_name) == 0;
    if (ended) {
      span.m_to = m_now;
    }
  }
  for (const std::string& name : m_true_config.m_out) {
    const bool open =
        std::any_of(m_outs.begin(), m_outs.end(), [&name](const OutSpan& span) {
          return span.m_name == name && span.m_to == TimePoint::max();
        });
    if (!open) {
      m_outs.push_back(OutSpan{name, m_now, TimePoint::max()});
    }
  }
}

void SchedWorld::AppendConfig(const ConfigRecord& record) {
  // The operators' own record takes effect now; snapshots of schedulers may
  // have come in between, and change nothing.
  m_true_config.m_next =
      standin::AppendTo(&m_log, kConfigStream, EncodeConfig(record));
  NoteConfig(record);
}

void SchedWorld::SetOut(int domain, bool out) {
  if (!m_log_down) {
    AppendConfig(ConfigDrain{DomainName(domain), out});
  }
}

void SchedWorld::PublishAgain() {
  if (m_log_down) {
    return;
  }
  // Two operators start from the same revision; the second one loses.
  ConfigPublish publish;
  publish.m_base = m_true_config.m_revision;
  publish.m_doc = m_true_config.m_doc;
  AppendConfig(publish);
  ConfigPublish loser = publish;
  loser.m_doc.m_failure_domains.clear();
  AppendConfig(loser);
}

void SchedWorld::Submit(std::uint32_t tasks,
                        std::int64_t cpu_milli,
                        milliseconds work) {
  if (m_log_down) {
    return;
  }
  JobSpec spec;
  spec.m_tenant = m_jobs.size() % 2 == 0 ? "a" : "b";
  spec.m_id = MakeJobId(spec.m_tenant, std::to_string(m_jobs.size()));
  spec.m_tasks = tasks;
  spec.m_size = Resources{cpu_milli, cpu_milli, 0};
  spec.m_work = work;
  const std::string payload =
      EncodeBatch(Batch{0, 0, 0, {Decision(JobAdmit{spec})}});
  const std::string stream =
      CellStream(HomeCell(m_true_config.m_doc, spec.m_id));
  // A submitter whose answer was lost tries again.
  AppendNow(stream, payload);
  if (spec.m_id % 3 == 0) {
    Later(-1, std::chrono::seconds(2),
          [this, stream, payload] { AppendNow(stream, payload); });
  }
  m_jobs.emplace_back(spec.m_id, tasks);
}

void SchedWorld::CancelOldest() {
  if (m_log_down || m_next_cancel >= m_jobs.size()) {
    return;
  }
  const JobId job = m_jobs[m_next_cancel].first;
  m_next_cancel += 2;
  m_cancelled.insert(job);
  AppendNow(CellStream(HomeCell(m_true_config.m_doc, job)),
            EncodeBatch(Batch{0, 0, 0, {Decision(JobCancel{job})}}));
}

void SchedWorld::Heal() {
  m_log_down = false;
  m_lose_answers = 0;
  m_append_delay = milliseconds(5);
  for (int i = 0; i < Workers(); ++i) {
    SetWorkerDead(i, false);
    SetWorkerFailsAll(i, false);
  }
  for (int d = 0; d < Domains(); ++d) {
    SetOut(d, false);
  }
  for (int i = 0; i < Schedulers(); ++i) {
    SetCut(i, false);
    m_processes[i].m_frozen_until = TimePoint();
    if (!m_processes[i].m_alive || m_processes[i].m_leaving) {
      Restart(i);
    }
  }
}

}  // namespace hyssopspar::testsuite
