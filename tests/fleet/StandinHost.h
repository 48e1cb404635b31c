#ifndef CORNELRUDDER_TESTS_FLEET_STANDIN_HOST_H
#define CORNELRUDDER_TESTS_FLEET_STANDIN_HOST_H

#include <string>

namespace cornelrudder::tests {

/**
 * @param aProcess Identifier of a process.
 * @return Loopback address that few other processes share. A link that is reset
 *   closes its port for a while. On the common address, a stand-in of another
 *   seed may listen there meanwhile and reply as a worker of the same fleet.
 */
inline std::string
StandinHost(int aProcess)
{
  constexpr int kHosts = 254;
  return "127." + std::to_string(aProcess / kHosts % kHosts + 1) + "." +
         std::to_string(aProcess % kHosts + 1) + ".1";
}

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_STANDIN_HOST_H
