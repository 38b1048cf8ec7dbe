/// \file
/// What reaches the routing thread.

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hyssopspar/gate_core.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/stream_reader.h"

namespace hyssopspar::gate {

struct WakeEvent {};

struct RequestEvent {
  HttpRequest m_http;
  HttpReply m_reply;
  TimePoint m_arrived;
};

struct ExchangeEvent {
  RequestId m_request = 0;
  Result<HttpResponse> m_answer = HttpResponse{};
};

struct ClaimAppendEvent {
  RequestId m_request = 0;
  bool m_succeeded = false;
  bool m_maybe = false;
};

struct PeerEvent {
  std::string m_message;
};

struct VmsEvent {
  std::vector<Vm> m_vms;
};

using GateEvent = std::variant<WakeEvent,
                               RequestEvent,
                               ExchangeEvent,
                               ClaimAppendEvent,
                               PeerEvent,
                               VmsEvent,
                               StreamRead>;

}  // namespace hyssopspar::gate
