#ifndef CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H
#define CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H

#include <stdexcept>

namespace cornelrudder::coordination {

/** Thrown when a task cannot be set up or a stored row cannot be used. */
class CoordinationError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_COORDINATION_ERROR_H
