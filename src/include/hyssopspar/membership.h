/// \file
/// Membership of the scheduler group: the live scheduler processes, and the
/// load summaries of the cells that each of them owns.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"
#include "hyssopspar/resources.h"
#include "hyssopspar/time.h"

namespace hyssopspar {

/// Capacity and load of one cell, published by its owner in each heartbeat.
struct CellSummary {
  std::string m_cell;
  Resources m_free;  ///< Capacity less commitments, summed over workers.
  /// Batch capacity of the worker with the most CPU.
  Resources m_largest_worker;
  std::uint32_t m_pending = 0;  ///< Number of pending tasks.
  /// The cell's failure domain is out of service.
  bool m_out_of_service = false;
};

/// Heartbeat of one scheduler process, appended to the members stream.
struct MemberHeartbeat {
  std::string m_name;
  /// Random number drawn at process start; differs after every restart.
  std::uint64_t m_incarnation = 0;
  std::string m_failure_domain;
  std::string m_address;             ///< HTTP interface of the process.
  bool m_leaving = false;            ///< A graceful shutdown is in progress.
  std::vector<CellSummary> m_cells;  ///< Cells owned by the process.
};

/// Last known heartbeat of a scheduler, and when the reader received heartbeats
/// by its local clock.
struct Member {
  MemberHeartbeat m_heartbeat;
  TimePoint m_first_seen;  ///< Receipt of the first one of this incarnation.
  /// Receipt of the latest one, or the first read after an outage of the log.
  TimePoint m_last_seen;
};

/// Live schedulers by name, built by one reader of the members stream.
struct Membership {
  Offset m_next = 0;  ///< Offset to read next.
  std::map<std::string, Member> m_members;
};

std::string EncodeHeartbeat(const MemberHeartbeat& heartbeat);
Result<MemberHeartbeat> DecodeHeartbeat(const std::string& bytes);

/// Applies a heartbeat that was read at \p now. The latest record in the log
/// replaces the stored heartbeat whatever its incarnation, because incarnations
/// are random numbers without an order.
void ApplyHeartbeat(Membership* membership,
                    const MemberHeartbeat& heartbeat,
                    TimePoint now);

/// Removes members whose latest heartbeat was read before \p oldest.
void ExpireMembers(Membership* membership, TimePoint oldest);

/// Names of the members eligible to own \p cell, in order of preference:
/// members in the cell's failure domain first, then the others, each group
/// ordered by rendezvous hashing. Members that are leaving are excluded.
std::vector<std::string> RankOwners(const Membership& membership,
                                    const std::string& cell);

}  // namespace hyssopspar
