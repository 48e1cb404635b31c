#ifndef CORNELRUDDER_COORDINATION_FLEET_PORT_H
#define CORNELRUDDER_COORDINATION_FLEET_PORT_H

#include "cornelrudder/state/Vm.h"

#include <functional>
#include <optional>

namespace cornelrudder::coordination {

/** Reads the platform's list of VMs. */
class FleetPort
{
public:
  /** Called exactly once, from any thread; nullopt if the read failed. */
  using Completion = std::function<void(std::optional<state::VmList>)>;

  virtual ~FleetPort() = default;

  virtual void ListVms(Completion aCompletion) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_FLEET_PORT_H
