/// \file
/// What reaches the decision thread.

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

struct AppendEvent {
  std::string m_stream;
  bool m_succeeded = false;
};

struct ReportEvent {
  std::string m_cell;
  std::string m_worker;
  Result<WorkerReport> m_report = WorkerReport{};
};

struct TransferEvent {
  std::string m_cell;
  TransferOrder m_order;
  bool m_succeeded = false;
};

struct VmsEvent {
  std::vector<Vm> m_vms;
};

struct ApiEvent {
  HttpRequest m_request;
  HttpReply m_reply;
};

struct LeaveEvent {};

using SchedEvent = std::variant<TickEvent,
                                StreamRead,
                                AppendEvent,
                                ReportEvent,
                                TransferEvent,
                                VmsEvent,
                                ApiEvent,
                                LeaveEvent>;

}  // namespace hyssopspar::sched
