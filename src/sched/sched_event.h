/// \file
/// Events of the decision thread: ticks, results of asynchronous calls, and
/// requests.

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hyssopspar/cell_owner.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/stream_reader.h"
#include "hyssopspar/vm_directory.h"

namespace hyssopspar::sched {

struct TickEvent {};

/// Result of an append to the stream of an owned or claimed cell.
struct AppendResultEvent {
  std::string m_stream;
  bool m_succeeded = false;
};

/// Answer of a worker to a sync, or the error of the call.
struct WorkerReportEvent {
  std::string m_cell;
  std::string m_worker;
  Result<WorkerReport> m_report = WorkerReport{};
};

/// Result of an append to another cell's stream.
struct TransferResultEvent {
  std::string m_cell;  ///< Cell that sent the record.
  TransferOrder m_order;
  bool m_succeeded = false;
};

/// New VM list of the platform.
struct VmListEvent {
  std::vector<Vm> m_vms;
};

/// HTTP request to the operator and submitter interface.
struct ApiRequestEvent {
  HttpRequest m_request;
  HttpReply m_reply;
};

/// Starts the graceful shutdown.
struct ShutdownEvent {};

using SchedEvent = std::variant<TickEvent,
                                StreamRead,
                                AppendResultEvent,
                                WorkerReportEvent,
                                TransferResultEvent,
                                VmListEvent,
                                ApiRequestEvent,
                                ShutdownEvent>;

}  // namespace hyssopspar::sched
