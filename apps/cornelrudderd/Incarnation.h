#ifndef CORNELRUDDERD_INCARNATION_H
#define CORNELRUDDERD_INCARNATION_H

#include "cornelrudder/state/Ids.h"

#include <string>

namespace cornelrudder::daemon {

/**
 * @return A string that is random for each process start, so that identifiers
 *   with this prefix are never reused.
 */
std::string
MakeIncarnation(const state::VmId& aId);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_INCARNATION_H
