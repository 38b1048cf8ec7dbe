/// \file
/// Runs an io_context on a thread of its own. Internal to the library.

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace hyssopspar::pvt {

/// Called with the message of an exception that a handler let escape.
using UnexpectedErrorHandler = std::function<void(const std::string&)>;

/// Runs \p io until it is stopped or has no work left. An exception out of a
/// handler ends that handler only: it is logged with the name of the loop and
/// passed to \p on_error, which may be empty.
void RunGuarded(boost::asio::io_context* io,
                const char* loop,
                const UnexpectedErrorHandler& on_error);

}  // namespace hyssopspar::pvt
