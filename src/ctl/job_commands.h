/// \file
/// Commands of `hyssopsparctl` that submit, cancel and show jobs, and show the
/// state of the schedulers. Schedulers are given by their addresses.

#pragma once

#include <string>
#include <vector>

namespace hyssopspar::ctl {

/// Submits the configured job \p job under \p key through the first scheduler
/// that answers; a repeat under the same key has no effect. Returns the exit
/// code.
int SubmitJob(const std::vector<std::string>& sched_addresses,
              const std::string& job,
              const std::string& key);

/// Cancels job \p id through the first scheduler that answers. Returns the exit
/// code.
int CancelJob(const std::vector<std::string>& sched_addresses,
              const std::string& id);

/// Prints the state of each task of job \p id, as reported by the cell that the
/// task is in. Returns the exit code.
int ShowJob(const std::vector<std::string>& sched_addresses,
            const std::string& id);

/// Prints for each waiting task of job \p id why it waits. Returns the exit
/// code.
int ExplainJob(const std::vector<std::string>& sched_addresses,
               const std::string& id);

/// Prints the schedulers that answer and the cells they own. Returns the exit
/// code.
int ShowStatus(const std::vector<std::string>& sched_addresses);

}  // namespace hyssopspar::ctl
