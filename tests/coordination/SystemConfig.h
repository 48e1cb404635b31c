#ifndef CORNELRUDDER_TESTS_COORDINATION_SYSTEM_CONFIG_H
#define CORNELRUDDER_TESTS_COORDINATION_SYSTEM_CONFIG_H

#include <caf/actor_system_config.hpp>

namespace cornelrudder::tests {

/** Uses the work-sharing scheduler, as the daemon does. */
class SystemConfig : public caf::actor_system_config
{
public:
  SystemConfig() { set("scheduler.policy", caf::atom("sharing")); }
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_COORDINATION_SYSTEM_CONFIG_H
