#ifndef CORNELRUDDER_COORDINATION_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MESSAGES_H

/**
 * @file
 * Messages between the tasks of one process. They never leave it, so that
 * they need no encoding ("unsafe message type" in CAF's words).
 */

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/LeaseMessages.h"
#include "cornelrudder/coordination/MembershipMessages.h"
#include "cornelrudder/coordination/PlacementMessages.h"
#include "cornelrudder/coordination/RoutingMessages.h"
#include "cornelrudder/coordination/SettingsMessages.h"
#include "cornelrudder/coordination/StoreMessages.h"

#endif // CORNELRUDDER_COORDINATION_MESSAGES_H
