#ifndef CORNELRUDDER_STATE_ZONE_SETTINGS_H
#define CORNELRUDDER_STATE_ZONE_SETTINGS_H

#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/scheduling/Evacuations.h"

namespace cornelrudder::state {

/** @return The availability zones whose document says "evacuated". */
scheduling::Evacuations
EvacuationsOf(const SettingsSnapshot& aSettings);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ZONE_SETTINGS_H
