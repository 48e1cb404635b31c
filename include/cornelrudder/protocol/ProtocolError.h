#ifndef CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H
#define CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H

#include <stdexcept>

namespace cornelrudder::protocol {

/** Thrown when bytes cannot be decoded; says where and what is allowed. */
class ProtocolError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H
