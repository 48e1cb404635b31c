#include "SocketAddress.h"

#include "cornelrudder/transport/TransportError.h"

#include <charconv>
#include <sstream>

namespace cornelrudder::transport {

boost::asio::ip::tcp::endpoint
ParseSocketAddress(const std::string& aText)
{
  const auto n = aText.rfind(':');
  std::string host = aText.substr(0, n);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const char* begin =
    n == std::string::npos ? end : aText.data() + static_cast<long>(n) + 1;
  const auto [rest, portError] = std::from_chars(begin, end, port);
  if (ec || begin == end || portError != std::errc() || rest != end) {
    throw TransportError("address \"" + aText +
                         "\": allowed is an IP number and a port, such as "
                         "127.0.0.1:8080");
  }
  return { address, port };
}

std::string
FormatSocketAddress(const boost::asio::ip::tcp::endpoint& aAddress)
{
  std::ostringstream text;
  text << aAddress;
  return text.str();
}

} // namespace cornelrudder::transport
