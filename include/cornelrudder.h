#ifndef CORNELRUDDER_H
#define CORNELRUDDER_H

/**
 * @file
 * Umbrella header of the embeddable parts: values and decisions. The task and
 * transport headers are included one by one, since they need CAF.
 */

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/JobClass.h"
#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/SlotAssignment.h"
#include "cornelrudder/state/StateError.h"
#include "cornelrudder/state/Vm.h"

#endif // CORNELRUDDER_H
