/// \file
/// Faults under which an owner observes the ends of workers late, wrongly or
/// not at all, and jobs that last.

#pragma once

namespace hyssopspar::jobs {

/// Numbers of faults in the fault period, all off by default. Their random
/// numbers come from a generator of their own.
struct MisobservedFaults {
  /// The current owner's process stands still for 0.5 to 6 s. A successor takes
  /// over if the ownership lease ends meanwhile.
  int m_owner_pauses = 0;
  /// Periods of 2 to 6 s in which the answers to heartbeats take 0.2 to 2 s
  /// longer.
  int m_slow_periods = 0;
  /// The entry of a worker is removed after three beats without contact to the
  /// store, in half of the outages also while the store is down, and is back
  /// within 2 s of the contact's return.
  bool m_entries_expire = false;
  int m_store_outages = 0;  ///< Outages of 2 to 8 s.
  /// Workers that are restarted as planned at the same time, until all have
  /// been restarted one after the other; 0: none.
  int m_update_lanes = 0;
  /// Times at which one to three workers are cut off from the owners for 1 to
  /// 6 s. Some lose the store as well, some restart meanwhile.
  int m_cuts = 0;
  /// Crashes of a fifth of the workers (four at least) at once, each of which
  /// the owner sees up to 2 s later.
  int m_spread_losses = 0;
  /// Crashes of one worker that resets its connections only when it is back.
  int m_silent_losses = 0;
  /// Jobs with a long-running step of 1 to 14 tasks.
  int m_lasting_jobs = 0;
  /// Those among them with a task that crashes its worker at each start.
  int m_crashing_lasting_jobs = 0;

  bool IsOff() const {
    return m_owner_pauses == 0 && m_slow_periods == 0 && !m_entries_expire &&
           m_store_outages == 0 && m_update_lanes == 0 && m_cuts == 0 &&
           m_spread_losses == 0 && m_silent_losses == 0 && m_lasting_jobs == 0;
  }
};

}  // namespace hyssopspar::jobs
