/// \file
/// A server of hostile answers. It serves some, then passes bytes on to the
/// server in whose place it stands, so that its client can recover.

#pragma once

#include <string>

#include "platform/standin/http.h"

namespace hostile {

/// Hostile answers, each of kEndlessAnswerBytes at most, before a relay or
/// stand-in turns ordinary.
inline constexpr int kHostileAnswers = 12;

/// The delivery of the answers of \p kind; kAnswer for an unknown kind.
review::Delivery DeliveryOf(const std::string& kind);

/// Serves answers of \p kind on a free loopback port, which it writes to
/// \p port_file, then relays to \p address. Creates the file
/// PORT_FILE.relaying when it begins to relay. Never returns 0.
int RunRelay(const std::string& address,
             const std::string& kind,
             const std::string& port_file);

}  // namespace hostile
