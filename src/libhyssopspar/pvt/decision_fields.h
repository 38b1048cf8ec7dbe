/// \file
/// VisitFields overloads that list the fields of each decision type in the
/// order in which they are encoded. The unused pointer selects the overload.

#pragma once

#include "hyssopspar/decision.h"

namespace hyssopspar {

template <class A, class T>
void VisitFields(A& a, T& d, const OwnerClaim* /*tag*/) {
  a(d.m_owner, d.m_previous_epoch, d.m_read_offset);
}
template <class A, class T>
void VisitFields(A& a, T& d, const OwnerRelease* /*tag*/) {
  a(d.m_owner);
}
template <class A, class T>
void VisitFields(A& a, T& d, const WorkerAdd* /*tag*/) {
  a(d.m_name, d.m_failure_domain, d.m_rack, d.m_capacity);
}
template <class A, class T>
void VisitFields(A& a, T& d, const WorkerResize* /*tag*/) {
  a(d.m_worker, d.m_capacity);
}
template <class A, class T>
void VisitFields(A& a, T& d, const WorkerRemove* /*tag*/) {
  a(d.m_worker);
}
template <class A, class T>
void VisitFields(A& a, T& d, const JobAdmit* /*tag*/) {
  a(d.m_spec);
}
template <class A, class T>
void VisitFields(A& a, T& d, const JobCancel* /*tag*/) {
  a(d.m_job);
}
template <class A, class T>
void VisitFields(A& a, T& d, const JobRemove* /*tag*/) {
  a(d.m_job);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskCommit* /*tag*/) {
  a(d.m_task.m_job, d.m_task.m_index, d.m_attempt, d.m_worker,
    d.m_size.m_cpu_milli, d.m_size.m_memory_mib, d.m_size.m_accelerators);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskEvict* /*tag*/) {
  a(d.m_task.m_job, d.m_task.m_index, d.m_attempt);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskStop* /*tag*/) {
  a(d.m_task.m_job, d.m_task.m_index, d.m_attempt, d.m_reason, d.m_progress);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskFinish* /*tag*/) {
  a(d.m_task.m_job, d.m_task.m_index, d.m_attempt);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskPark* /*tag*/) {
  a(d.m_task, d.m_reason);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskHandOff* /*tag*/) {
  a(d.m_task, d.m_hop, d.m_target);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskHandOffConfirm* /*tag*/) {
  a(d.m_task, d.m_hop);
}
template <class A, class T>
void VisitFields(A& a, T& d, const TaskAccept* /*tag*/) {
  a(d.m_spec, d.m_index, d.m_hop, d.m_attempt, d.m_failures, d.m_progress,
    d.m_cancelled);
}
template <class A, class T>
void VisitFields(A& a, T& d, const CancelForwarded* /*tag*/) {
  a(d.m_job);
}
template <class A, class T>
void VisitFields(A& a, T& d, const SnapshotChunk* /*tag*/) {
  a(d.m_last_offset, d.m_index, d.m_bytes);
}
template <class A, class T>
void VisitFields(A& a, T& d, const SnapshotFooter* /*tag*/) {
  a(d.m_last_offset, d.m_chunk_count, d.m_hash);
}

}  // namespace hyssopspar
