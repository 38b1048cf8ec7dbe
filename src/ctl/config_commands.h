/// \file
/// Commands of `hyssopsparctl` that check, publish, change and show the
/// configuration.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssopspar/config_doc.h"
#include "hyssopspar/error.h"
#include "hyssopspar/ids.h"

namespace hyssopspar::ctl {

/// Collects `*.toml` files below \p directory, sorted by path.
Result<std::vector<ConfigFile>> CollectFiles(const std::string& directory);

/// Checks the files below \p directory and prints every problem to standard
/// error. Returns the exit code.
int Validate(const std::string& directory);

/// Publishes the files below \p directory if the revision in force is still
/// \p base (by default the one found at the start). Returns the exit code.
int Publish(const std::string& directory,
            const std::string& log_address,
            std::optional<Revision> base);

/// Takes the failure domain or VM \p name out of service, or puts it back into
/// service. Returns the exit code.
int SetOutOfService(const std::string& name,
                    bool out_of_service,
                    const std::string& log_address);

/// Prints the revision in force, the state of each failure domain and
/// everything that is out of service. Returns the exit code.
int ShowConfig(const std::string& log_address);

}  // namespace hyssopspar::ctl
