/// \file
/// State and decisions of one scheduler process: its view of the membership and
/// all the cells that it follows or owns.

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/config_replay.h"
#include "hyssopspar/membership.h"
#include "hyssopspar/sched_settings.h"
#include "hyssopspar/vm_directory.h"

namespace hyssopspar {

// Names of the log streams.
inline constexpr const char* kConfigStream = "config";
inline constexpr const char* kMemberStream = "members";
/// Name of a cell's stream.
std::string CellStream(const std::string& cell);

/// Messages to send after a tick of a Scheduler.
struct SchedulerOutput {
  struct Append {
    std::string m_stream;
    std::string m_payload;
  };
  struct Sync {
    std::string m_cell;
    SyncOrder m_order;
  };
  struct Transfer {
    std::string m_cell;
    TransferOrder m_order;
  };
  /// Batches of cells, at most one for each. The result must be passed to
  /// OnAppend.
  std::vector<Append> m_appends;
  /// Heartbeats and configuration snapshots. Sent once and never retried, since
  /// later ones replace them.
  std::vector<Append> m_unretried_appends;
  std::vector<Sync> m_syncs;
  std::vector<Transfer> m_transfers;
};

/// Decision logic of one scheduler process. It does no input or output and is
/// not thread-safe: the caller passes in what was received and sends what Tick
/// returns.
class Scheduler {
 public:
  Scheduler(const SchedSettings& settings,
            WriterId writer,
            std::uint64_t incarnation);

  /// Applies the result of reading one of Streams(). The read was sent at
  /// \p sent.
  void OnRead(const std::string& stream,
              const Result<LogSlice>& slice,
              TimePoint sent,
              TimePoint now);

  /// Records the result of an append to a cell's stream.
  void OnAppend(const std::string& stream, bool succeeded, TimePoint now);

  /// Applies a worker's answer to a sync, or the error of the call.
  void OnReport(const std::string& cell,
                const std::string& worker,
                const Result<WorkerReport>& report,
                TimePoint now);

  /// Records the result of an append to another cell's stream.
  void OnTransfer(const std::string& cell,
                  const TransferOrder& order,
                  bool succeeded);

  /// Replaces the VM list.
  void OnVms(const std::vector<Vm>& vms);

  /// Begins a graceful shutdown: owned cells are released, none is claimed.
  void BeginShutdown() { m_leaving = true; }

  /// True if no cell is owned and no batch is outstanding.
  bool HasReleasedCells() const;

  /// Advances all cells to \p now and returns the messages that are due.
  SchedulerOutput Tick(TimePoint now);

  /// Streams to read, each with the offset to read from.
  std::map<std::string, Offset> Streams() const;

  const std::map<std::string, CellReplica>& Cells() const { return m_cells; }
  const ConfigState& Config() const { return m_config.State(); }
  const Membership& Members() const { return m_membership; }
  const std::map<std::string, Vm>& Vms() const { return m_vms; }
  const SchedSettings& Settings() const { return m_settings; }

  /// True once the configuration, the VM list and the members were received.
  bool IsReady() const;

  /// True while the configuration is recent enough to permit starts.
  bool IsConfigFresh(TimePoint now) const;

 private:
  CellContext Context() const;
  void ApplyMemberSlice(const Result<LogSlice>& slice, TimePoint now);
  void ApplyCellSlice(const std::string& cell,
                      const Result<LogSlice>& slice,
                      TimePoint sent,
                      TimePoint now);
  /// Starts following cells for which this scheduler ranks high enough, and
  /// stops following others that it does not own.
  void UpdateFollowedCells();
  void SendHeartbeat(TimePoint now, SchedulerOutput* output);
  /// Writes a configuration snapshot if enough records follow the last one.
  void SnapshotConfig(TimePoint now, SchedulerOutput* output);

  SchedSettings m_settings;
  WriterId m_writer = 0;            ///< Identifies this process in batches.
  std::uint64_t m_incarnation = 0;  ///< Distinguishes restarts of the process.
  bool m_leaving = false;

  ConfigReplay m_config;
  TimePoint m_next_config_snapshot_at;
  Membership m_membership;
  bool m_last_member_read_ok = false;
  bool m_members_ready = false;  ///< The last read reached the stream's end.
  TimePoint m_next_heartbeat_at;
  std::map<std::string, Vm> m_vms;
  bool m_vms_ready = false;
  std::map<std::string, CellReplica> m_cells;
};

}  // namespace hyssopspar
