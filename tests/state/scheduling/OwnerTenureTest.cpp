#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state::scheduling;
using std::chrono::milliseconds;

TEST_GROUP(OwnerTenure){};

TEST(OwnerTenure, NoCommandIsAllowedBeforeAWriteIsStored)
{
  CHECK_FALSE(OwnerTenure().MayCommand(milliseconds(0)));
}

TEST(OwnerTenure, CommandsEndAFixedTimeAfterTheLastStoredWriteWasSent)
{
  const milliseconds sent(10'000);
  const OwnerTenure tenure = OwnerTenure().WithStoredWrite(sent);
  const milliseconds end = sent + OwnerTenure::kCommandTime;
  CHECK_TRUE(tenure.MayCommand(end - milliseconds(1)));
  CHECK_FALSE(tenure.MayCommand(end));
  CHECK_TRUE(tenure.WithStoredWrite(end).MayCommand(end));
}

// Guards against an earlier write, whose reply comes last, that shortens a
// tenure.
TEST(OwnerTenure, EarlierWriteDoesNotShortenTheTenure)
{
  const OwnerTenure tenure = OwnerTenure().WithStoredWrite(milliseconds(2'000));
  CHECK(tenure == tenure.WithStoredWrite(milliseconds(1'000)));
}

// Guards against a successor that counts from a later read than the first one
// of a version, or from an earlier version.
TEST(OwnerTenure, SightingKeepsTheFirstReadOfAVersion)
{
  const LeaseSighting first = LeaseSighting().WithRead(7, milliseconds(1'000));
  CHECK(first == first.WithRead(7, milliseconds(5'000)));
  CHECK(milliseconds(5'000) == first.WithRead(8, milliseconds(5'000)).SeenAt());
}

TEST(OwnerTenure, SuccessorAssumesCommandsForLongerThanItsPredecessorSendsThem)
{
  const milliseconds seen(20'000);
  const LeaseSighting sighting = LeaseSighting().WithRead(1, seen);
  // The write was sent before it was seen, and the clock of the former owner
  // is slow.
  const OwnerTenure former = OwnerTenure().WithStoredWrite(seen);
  const milliseconds elapsed = sighting.LastCommandAt() - seen;
  CHECK_FALSE(former.MayCommand(seen + elapsed * 98 / 100));
}
