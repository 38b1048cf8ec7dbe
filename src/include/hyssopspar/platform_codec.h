/// \file
/// JSON encoding of the messages of the platform's interfaces, as specified in
/// docs/PLATFORM.md. Decoders fail with kMalformed for other text.

#pragma once

#include <string>
#include <vector>

#include "hyssopspar/error.h"
#include "hyssopspar/log_store.h"
#include "hyssopspar/vm_directory.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar {

/// Part of a log stream; payloads are base64.
std::string EncodeSlice(const LogSlice& slice);
Result<LogSlice> DecodeSlice(const std::string& text);

/// Commands and lease for a worker.
std::string EncodeSync(const WorkerSync& sync);
Result<WorkerSync> DecodeSync(const std::string& text);

/// A worker's response to a sync.
std::string EncodeReport(const WorkerReport& report);
Result<WorkerReport> DecodeReport(const std::string& text);

/// The VM list.
std::string EncodeVms(const std::vector<Vm>& vms);
Result<std::vector<Vm>> DecodeVms(const std::string& text);

}  // namespace hyssopspar
