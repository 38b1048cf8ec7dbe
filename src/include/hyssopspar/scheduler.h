/// \file
/// The decisions of one `sched` process over all the cells it follows.

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

/// Names of the streams.
inline constexpr const char* kConfigStream = "config";
inline constexpr const char* kMemberStream = "members";
std::string CellStream(const std::string& cell);

/// What to send after a tick of a Scheduler.
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
  std::vector<Append> m_appends;  ///< One outstanding for each cell.
  std::vector<Append> m_beats;    ///< Sent once, never repeated.
  std::vector<Sync> m_syncs;
  std::vector<Transfer> m_transfers;
};

/// Free of input and output, and of threads: one caller at a time hands in what
/// was read and carries out what Tick returns.
class Scheduler {
 public:
  Scheduler(const SchedSettings& settings,
            WriterId writer,
            std::uint64_t incarnation);

  /// Takes a read of any followed stream, sent at \p sent.
  void OnRead(const std::string& stream,
              const Result<LogSlice>& slice,
              TimePoint sent,
              TimePoint now);

  /// Takes the answer to an Append of a cell's stream.
  void OnAppend(const std::string& stream, bool succeeded, TimePoint now);

  void OnReport(const std::string& cell,
                const std::string& worker,
                const Result<WorkerReport>& report,
                TimePoint now);

  void OnTransfer(const std::string& cell,
                  const TransferOrder& order,
                  bool succeeded);

  void OnVms(const std::vector<Vm>& vms);

  /// Begins a graceful stop: cells are given up, none is claimed.
  void Leave() { m_leaving = true; }

  /// True when no cell is held and nothing is outstanding.
  bool HasLeft() const;

  SchedulerOutput Tick(TimePoint now);

  /// Streams to read, each from the offset to read next.
  std::map<std::string, Offset> Streams() const;

  const std::map<std::string, CellOwner>& Cells() const { return m_cells; }
  const ConfigState& Config() const { return m_config.State(); }
  const Membership& Members() const { return m_membership; }
  const std::map<std::string, Vm>& Vms() const { return m_vms; }
  const SchedSettings& Settings() const { return m_settings; }

  /// True once configuration and VM list are known.
  bool IsReady() const;

  /// True while the view of the configuration permits starts.
  bool IsConfigFresh(TimePoint now) const;

 private:
  CellContext Context() const;
  void ReadMembers(const Result<LogSlice>& slice, TimePoint now);
  void ReadCell(const std::string& cell,
                const Result<LogSlice>& slice,
                TimePoint sent,
                TimePoint now);
  void FollowCells();
  void Beat(TimePoint now, SchedulerOutput* output);
  void SnapshotConfig(TimePoint now, SchedulerOutput* output);

  SchedSettings m_settings;
  WriterId m_writer = 0;
  std::uint64_t m_incarnation = 0;
  bool m_leaving = false;

  ConfigReplay m_config;
  TimePoint m_next_config_snapshot;
  Membership m_membership;
  bool m_members_reading = false;
  bool m_members_ready = false;
  TimePoint m_next_beat;
  std::map<std::string, Vm> m_vms;
  bool m_vms_ready = false;
  std::map<std::string, CellOwner> m_cells;
};

}  // namespace hyssopspar
