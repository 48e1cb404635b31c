#ifndef CORNELRUDDER_STATE_STATE_ERROR_H
#define CORNELRUDDER_STATE_STATE_ERROR_H

#include <stdexcept>

namespace cornelrudder::state {

/** Thrown on an invalid argument, mostly by constructors of value types. */
class StateError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_STATE_ERROR_H
