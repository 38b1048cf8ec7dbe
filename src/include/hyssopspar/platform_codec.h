/// \file
/// JSON forms of the platform's interfaces, as docs/PLATFORM.md gives them.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/log_store.h"
#include "hyssopspar/vm_directory.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar {

std::string EncodeSlice(const LogSlice& slice);
Result<LogSlice> DecodeSlice(const std::string& text);

std::string EncodeSync(const WorkerSync& sync);
Result<WorkerSync> DecodeSync(const std::string& text);

std::string EncodeReport(const WorkerReport& report);
Result<WorkerReport> DecodeReport(const std::string& text);

std::string EncodeVms(const std::vector<Vm>& vms);
Result<std::vector<Vm>> DecodeVms(const std::string& text);

}  // namespace hyssopspar
