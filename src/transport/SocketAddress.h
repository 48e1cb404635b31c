#ifndef CORNELRUDDER_TRANSPORT_SOCKET_ADDRESS_H
#define CORNELRUDDER_TRANSPORT_SOCKET_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace cornelrudder::transport {

/**
 * @param aText "a.b.c.d:port" or "[::1]:port".
 * @throws TransportError if the text is no IP number with a port.
 */
boost::asio::ip::tcp::endpoint
ParseSocketAddress(const std::string& aText);

/** @return "a.b.c.d:port". */
std::string
FormatSocketAddress(const boost::asio::ip::tcp::endpoint& aAddress);

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_SOCKET_ADDRESS_H
