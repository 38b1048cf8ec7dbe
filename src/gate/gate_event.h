/// \file
/// Events that other threads queue for the routing thread.

#pragma once

#include <string>
#include <variant>
#include <vector>

#include "hyssopspar/gate_core.h"
#include "hyssopspar/http_server.h"
#include "hyssopspar/stream_reader.h"

namespace hyssopspar::gate {

/// Periodic wake-up.
struct WakeEvent {};

/// An HTTP request arrived.
struct RequestEvent {
  HttpRequest m_http;
  HttpReply m_reply;
  TimePoint m_arrival_time;
};

/// A request sent to an endpoint was answered or failed.
struct ExchangeEvent {
  RequestId m_request_id = 0;
  Result<HttpResponse> m_answer = HttpResponse{};
};

/// The append of a claim ended.
struct ClaimAppendEvent {
  RequestId m_request_id = 0;
  bool m_succeeded = false;
  /// The append failed, but the log may still have recorded the claim.
  bool m_may_have_taken_effect = false;
};

/// A message from another gate arrived.
struct PeerEvent {
  std::string m_message;  ///< An encoded PeerReport.
};

/// The VM list was read.
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
