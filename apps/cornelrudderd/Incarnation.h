#ifndef CORNELRUDDERD_INCARNATION_H
#define CORNELRUDDERD_INCARNATION_H

#include "cornelrudder/state/Ids.h"

#include <string>

namespace cornelrudder::daemon {

/**
 * @return A text that differs for each life of the process, so that
 *   identifiers made from it are never used again.
 */
std::string
MakeIncarnation(const state::VmId& aId);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_INCARNATION_H
