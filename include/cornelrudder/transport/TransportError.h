#ifndef CORNELRUDDER_TRANSPORT_TRANSPORT_ERROR_H
#define CORNELRUDDER_TRANSPORT_TRANSPORT_ERROR_H

#include <stdexcept>

namespace cornelrudder::transport {

/** Thrown when an address is malformed or a socket cannot be opened. */
class TransportError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_TRANSPORT_ERROR_H
