#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_UNIT_LIMITS_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_UNIT_LIMITS_H

#include "cornelrudder/state/scheduling/Planning.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

/**
 * @file
 * Limits on the waiting units of one planning pass, which bound its memory.
 */

namespace cornelrudder::state::scheduling {

/**
 * Units of a pass beyond which each step gets only a share: a unit takes about
 * 1 KB in the view and in the policy.
 */
constexpr std::size_t kMaxWaitingUnits = 16'384;

/**
 * @return Number of tasks of a step that the workers could run at the same time
 *   if they were all empty and usable, at least 1 and at most aMax. A pass
 *   cannot place more of them.
 */
std::size_t
TaskSlots(std::span<const WorkerView> aWorkers,
          const std::string& aService,
          const StepSpec& aStep,
          std::size_t aMax);

/**
 * @param aCounts Numbers of units that the steps ask for.
 * @param aLimit Number of units of all steps.
 * @return The largest number of units for each step with which all steps
 *   together stay within the limit; at least 1, so that each step has a unit.
 */
std::size_t
EvenShare(std::vector<std::size_t> aCounts, std::size_t aLimit);

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_UNIT_LIMITS_H
