#ifndef CORNELRUDDER_PROTOCOL_VM_LIST_CODEC_H
#define CORNELRUDDER_PROTOCOL_VM_LIST_CODEC_H

#include "cornelrudder/state/Vm.h"
#include "cornelrudder/state/scheduling/Evacuations.h"

#include <string>

namespace cornelrudder::protocol {

/**
 * @return The VMs as JSON, each with whether its zone is evacuated, and the
 *   names of all evacuated zones, with or without VMs.
 */
std::string
EncodeVmList(const state::VmList& aVms,
             const state::scheduling::Evacuations& aEvacuations);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_VM_LIST_CODEC_H
