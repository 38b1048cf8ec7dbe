#include "pvt/net.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hyssopspar::pvt {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& address,
                                            boost::beast::error_code& ec) {
  const std::size_t colon = address.rfind(':');
  std::uint16_t port = 0;
  const char* const begin =
      address.data() + (colon == std::string::npos ? 0 : colon + 1);
  const char* const end = address.data() + address.size();
  const std::from_chars_result parsed = std::from_chars(begin, end, port);
  if (colon == std::string::npos || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    ec = boost::asio::error::invalid_argument;
    return {};
  }
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(address.substr(0, colon), ec);
  return {ip, port};
}

}  // namespace hyssopspar::pvt
