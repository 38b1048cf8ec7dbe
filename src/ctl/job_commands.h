/// \file
/// Commands on jobs and schedulers.

#pragma once

#include <string>
#include <vector>

namespace hyssopspar::ctl {

/// Submits the configured job \p job under \p key through the first scheduler
/// that answers. Returns the exit code.
int SubmitJob(const std::vector<std::string>& scheds,
              const std::string& job,
              const std::string& key);

int CancelJob(const std::vector<std::string>& scheds, const std::string& id);

/// Prints each task of a job, as the cell that has it now knows it.
int ShowJob(const std::vector<std::string>& scheds, const std::string& id);

/// Prints why tasks of a job wait.
int ExplainJob(const std::vector<std::string>& scheds, const std::string& id);

/// Prints schedulers and cells.
int ShowStatus(const std::vector<std::string>& scheds);

}  // namespace hyssopspar::ctl
