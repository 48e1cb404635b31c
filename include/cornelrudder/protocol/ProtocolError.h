#ifndef CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H
#define CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H

#include <stdexcept>

namespace cornelrudder::protocol {

/**
 * Thrown if input is malformed or a message cannot be encoded; names the field
 * and what is allowed.
 */
class ProtocolError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_PROTOCOL_ERROR_H
