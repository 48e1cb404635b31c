#include "cornelrudder/state/SlotAssignment.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;

TEST_GROUP(SlotAssignment){};

// Guards against slots that are assigned to two daemons or to none.
TEST(SlotAssignment, SlotsArePartitioned)
{
  std::vector<VmId> daemons;
  for (int i = 0; i < 9; ++i) {
    daemons.emplace_back("entry-" + std::to_string(i));
  }
  for (int runner = 0; runner < 48; ++runner) {
    int total = 0;
    for (const VmId& daemon : daemons) {
      total += AssignedSlots(
        VmId("runner-" + std::to_string(runner)), 8, daemons, daemon);
    }
    LONGS_EQUAL(8, total);
  }
}
