// Scheduler: routes received data to its cells and collects their output.

#include "hyssopspar/scheduler.h"

#include <algorithm>
#include <utility>

namespace hyssopspar {

namespace {

constexpr const char* kCellStreamPrefix = "cell-";
/// Configuration records after which another snapshot is written.
constexpr Offset kConfigSnapshotRecords = 64;
/// Minimum time between configuration snapshots of one scheduler. Several
/// schedulers may write the same snapshot; this limits such repeats.
constexpr milliseconds kConfigSnapshotMinInterval{10000};

}  // namespace

std::string CellStream(const std::string& cell) {
  return kCellStreamPrefix + cell;
}

Scheduler::Scheduler(const SchedSettings& settings,
                     WriterId writer,
                     std::uint64_t incarnation)
    : m_settings(settings), m_writer(writer), m_incarnation(incarnation) {}

CellContext Scheduler::Context() const {
  CellContext context;
  context.m_settings = &m_settings;
  context.m_config = &m_config.State();
  context.m_config_as_of = m_config.CurrentAsOf();
  context.m_config_ready =
      m_config.IsReady() && m_config.State().m_revision > 0;
  context.m_vms = m_vms_ready ? &m_vms : nullptr;
  context.m_membership = &m_membership;
  context.m_leaving = m_leaving;
  return context;
}

bool Scheduler::IsReady() const {
  return m_config.IsReady() && m_vms_ready && m_members_ready;
}

bool Scheduler::IsConfigFresh(TimePoint now) const {
  return m_config.IsReady() &&
         now < m_config.CurrentAsOf() + m_settings.m_max_config_age;
}

void Scheduler::OnRead(const std::string& stream,
                       const Result<LogSlice>& slice,
                       TimePoint sent,
                       TimePoint now) {
  if (stream == kConfigStream) {
    if (slice) {
      m_config.Feed(slice.value(), sent);
    }
  } else if (stream == kMemberStream) {
    ApplyMemberSlice(slice, now);
  } else {
    ApplyCellSlice(stream.substr(std::string(kCellStreamPrefix).size()), slice,
                   sent, now);
  }
}

void Scheduler::ApplyMemberSlice(const Result<LogSlice>& slice, TimePoint now) {
  if (!slice) {
    m_last_member_read_ok = false;
    return;
  }
  if (!m_last_member_read_ok) {
    // No heartbeat could be received while the log was unreachable, so that
    // time must not count towards the members' timeout.
    for (std::pair<const std::string, Member>& entry : m_membership.m_members) {
      entry.second.m_last_seen = now;
    }
  }
  m_last_member_read_ok = true;
  for (const LogRecord& record : slice.value().m_records) {
    m_membership.m_next = record.m_offset + 1;
    const Result<MemberHeartbeat> heartbeat = DecodeHeartbeat(record.m_payload);
    if (heartbeat) {
      ApplyHeartbeat(&m_membership, heartbeat.value(), now);
    }
  }
  m_members_ready = m_membership.m_next >= slice.value().m_end;
  ExpireMembers(&m_membership, now - m_settings.m_member_timeout);
}

void Scheduler::ApplyCellSlice(const std::string& cell,
                               const Result<LogSlice>& slice,
                               TimePoint sent,
                               TimePoint now) {
  const std::map<std::string, CellReplica>::iterator it = m_cells.find(cell);
  if (it == m_cells.end()) {
    return;
  }
  if (!slice) {
    HandleCellReadFailure(&it->second);
    return;
  }
  HandleCellRead(&it->second, Context(), slice.value(), sent, now);
}

void Scheduler::OnAppend(const std::string& stream,
                         bool succeeded,
                         TimePoint now) {
  const std::map<std::string, CellReplica>::iterator it =
      m_cells.find(stream.substr(std::string(kCellStreamPrefix).size()));
  if (it != m_cells.end()) {
    HandleCellAppendResult(&it->second, m_settings, succeeded, now);
  }
}

void Scheduler::OnReport(const std::string& cell,
                         const std::string& worker,
                         const Result<WorkerReport>& report,
                         TimePoint now) {
  const std::map<std::string, CellReplica>::iterator it = m_cells.find(cell);
  if (it != m_cells.end()) {
    HandleWorkerReport(&it->second, worker, report, now);
  }
}

void Scheduler::OnTransfer(const std::string& cell,
                           const TransferOrder& order,
                           bool succeeded) {
  const std::map<std::string, CellReplica>::iterator it = m_cells.find(cell);
  if (it != m_cells.end()) {
    HandleTransferResult(&it->second, order, succeeded);
  }
}

void Scheduler::OnVms(const std::vector<Vm>& vms) {
  m_vms.clear();
  for (const Vm& vm : vms) {
    m_vms[vm.m_name] = vm;
  }
  m_vms_ready = true;
}

bool Scheduler::HasReleasedCells() const {
  return std::none_of(
      m_cells.begin(), m_cells.end(),
      [](const std::pair<const std::string, CellReplica>& cell) {
        return cell.second.m_owned || cell.second.m_outstanding.has_value();
      });
}

std::map<std::string, Offset> Scheduler::Streams() const {
  std::map<std::string, Offset> streams;
  streams[kConfigStream] = m_config.Next();
  streams[kMemberStream] = m_membership.m_next;
  for (const std::pair<const std::string, CellReplica>& entry : m_cells) {
    streams[CellStream(entry.first)] = entry.second.m_replay.Next();
  }
  return streams;
}

void Scheduler::UpdateFollowedCells() {
  if (!m_config.IsReady() || !m_members_ready) {
    return;
  }
  for (const std::string& cell : CellNames(m_config.State().m_doc)) {
    const std::vector<std::string> ranked = RankOwners(m_membership, cell);
    const std::vector<std::string>::const_iterator rank =
        std::find(ranked.begin(), ranked.end(), m_settings.m_name);
    const bool follow = rank != ranked.end() &&
                        rank - ranked.begin() < m_settings.m_followed_ranks;
    const std::map<std::string, CellReplica>::iterator it = m_cells.find(cell);
    if (follow && it == m_cells.end()) {
      CellReplica replica;
      replica.m_cell = cell;
      replica.m_failure_domain = CellFailureDomain(cell);
      replica.m_writer = m_writer;
      m_cells.emplace(cell, std::move(replica));
    } else if (!follow && it != m_cells.end() && !it->second.m_owned &&
               !it->second.m_outstanding) {
      m_cells.erase(it);
    }
  }
}

void Scheduler::SendHeartbeat(TimePoint now, SchedulerOutput* output) {
  if (now < m_next_heartbeat_at) {
    return;
  }
  m_next_heartbeat_at = now + m_settings.m_heartbeat_period;
  MemberHeartbeat heartbeat;
  heartbeat.m_name = m_settings.m_name;
  heartbeat.m_incarnation = m_incarnation;
  heartbeat.m_failure_domain = m_settings.m_failure_domain;
  heartbeat.m_address = m_settings.m_address;
  heartbeat.m_leaving = m_leaving;
  for (const std::pair<const std::string, CellReplica>& entry : m_cells) {
    if (entry.second.m_owned) {
      heartbeat.m_cells.push_back(SummarizeCell(entry.second, Context()));
    }
  }
  output->m_unretried_appends.push_back(
      SchedulerOutput::Append{kMemberStream, EncodeHeartbeat(heartbeat)});
}

void Scheduler::SnapshotConfig(TimePoint now, SchedulerOutput* output) {
  const ConfigState& config = m_config.State();
  const bool due =
      m_config.IsReady() && config.m_revision > 0 &&
      now >= m_next_config_snapshot_at &&
      config.m_next - config.m_snapshot_offset > kConfigSnapshotRecords;
  if (!due) {
    return;
  }
  m_next_config_snapshot_at = now + kConfigSnapshotMinInterval;
  const ConfigSnapshot snapshot{config.m_next, config.m_revision, config.m_doc,
                                config.m_out_of_service};
  output->m_unretried_appends.push_back(
      SchedulerOutput::Append{kConfigStream, EncodeConfig(snapshot)});
}

SchedulerOutput Scheduler::Tick(TimePoint now) {
  SchedulerOutput output;
  SendHeartbeat(now, &output);
  SnapshotConfig(now, &output);
  UpdateFollowedCells();
  const CellContext context = Context();
  for (std::pair<const std::string, CellReplica>& entry : m_cells) {
    CellOutput cell = TickCell(&entry.second, context, now);
    if (cell.m_append) {
      output.m_appends.push_back(SchedulerOutput::Append{
          CellStream(entry.first), std::move(*cell.m_append)});
    }
    for (SyncOrder& order : cell.m_syncs) {
      output.m_syncs.push_back(
          SchedulerOutput::Sync{entry.first, std::move(order)});
    }
    for (TransferOrder& order : cell.m_transfers) {
      output.m_transfers.push_back(
          SchedulerOutput::Transfer{entry.first, std::move(order)});
    }
  }
  return output;
}

}  // namespace hyssopspar
