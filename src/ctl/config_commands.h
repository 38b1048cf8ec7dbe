/// \file
/// Commands on the configuration in force.

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

/// Prints every problem of the files below \p directory. Returns the exit code.
int Validate(const std::string& directory);

/// Publishes the files below \p directory if the revision in force is still
/// \p base (by default the one found at the start). Returns the exit code.
int Publish(const std::string& directory,
            const std::string& log_address,
            std::optional<Revision> base);

/// Takes \p name out of service, or back in. Returns the exit code.
int SetOut(const std::string& name, bool out, const std::string& log_address);

/// Prints the revision in force and what is out of service.
int ShowConfig(const std::string& log_address);

}  // namespace hyssopspar::ctl
