#ifndef CORNELRUDDER_COORDINATION_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MESSAGES_H

/**
 * @file
 * Messages between the tasks of one process. They never leave it, so that
 * they need no encoding ("unsafe message type" in CAF's words).
 */

#include "cornelrudder/coordination/JobMessages.h"
#include "cornelrudder/coordination/LeaseMessages.h"
#include "cornelrudder/coordination/MembershipMessages.h"
#include "cornelrudder/coordination/RequestMessages.h"
#include "cornelrudder/coordination/SettingsMessages.h"
#include "cornelrudder/coordination/StoreMessages.h"
#include "cornelrudder/coordination/TaskMessages.h"

#endif // CORNELRUDDER_COORDINATION_MESSAGES_H
