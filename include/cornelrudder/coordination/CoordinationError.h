#ifndef CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H
#define CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H

#include <stdexcept>

namespace cornelrudder::coordination {

/** Thrown when a task cannot be started or a stored row is malformed. */
class CoordinationError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H
