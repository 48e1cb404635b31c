#ifndef CORNELRUDDER_COORDINATION_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MESSAGES_H

/**
 * @file
 * Messages between the tasks of one process. They never leave the process and
 * need no serialization, which CAF calls an "unsafe message type".
 */

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/LeaseMessages.h"
#include "cornelrudder/coordination/MembershipMessages.h"
#include "cornelrudder/coordination/PlacementMessages.h"
#include "cornelrudder/coordination/RoutingMessages.h"
#include "cornelrudder/coordination/SettingsMessages.h"
#include "cornelrudder/coordination/StoreMessages.h"

#endif // CORNELRUDDER_COORDINATION_MESSAGES_H
