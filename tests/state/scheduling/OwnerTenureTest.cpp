#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kSilence{ 1'300 };

} // namespace

TEST_GROUP(OwnerTenure){};

TEST(OwnerTenure, NoCommandIsAllowedBeforeAWriteIsStored)
{
  CHECK_FALSE(OwnerTenure().MayCommand(milliseconds(0)));
}

TEST(OwnerTenure, CommandsEndAFixedTimeAfterTheLastStoredWriteWasSent)
{
  const milliseconds sent(10'000);
  const OwnerTenure tenure = OwnerTenure().WithStoredWrite({ sent, kSilence });
  const milliseconds end = sent + OwnerTenure::kCommandTime;
  CHECK_TRUE(tenure.MayCommand(end - milliseconds(1)));
  CHECK_FALSE(tenure.MayCommand(end));
  CHECK_TRUE(tenure.WithStoredWrite({ end, kSilence }).MayCommand(end));
}

// Guards against an earlier write, whose reply comes last, that shortens a
// tenure.
TEST(OwnerTenure, EarlierWriteDoesNotShortenTheTenure)
{
  const OwnerTenure tenure =
    OwnerTenure().WithStoredWrite({ milliseconds(2'000), kSilence });
  CHECK(tenure == tenure.WithStoredWrite({ milliseconds(1'000), kSilence }));
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
  const OwnerTenure former = OwnerTenure().WithStoredWrite({ seen, kSilence });
  const milliseconds elapsed = sighting.LastCommandAt() - seen;
  CHECK_FALSE(former.MayCommand(seen + elapsed * 98 / 100));
}

// Guards against starts by an owner whose successor may have acquired the lease
// and asked the workers, which forget its epoch when they restart.
TEST(OwnerTenure, StartsEndBeforeASuccessorAcquiresTheLease)
{
  const milliseconds sent(10'000);
  const OwnerTenure tenure = OwnerTenure().WithStoredWrite({ sent, kSilence });
  const milliseconds time = tenure.StartsUntil() - sent;
  CHECK(time.count() > 0);
  // The clock of the owner is slow.
  CHECK(time * 100 < kSilence * 98);
  CHECK(tenure.MayCommand(tenure.StartsUntil()));
}

TEST(OwnerTenure, NoRunIsStartedBeforeAWriteIsStored)
{
  CHECK_EQUAL(0, OwnerTenure().StartsUntil().count());
}

// Guards against starts for the longer time of an earlier row while the row of
// a later write, which may be stored, allows a successor earlier.
TEST(OwnerTenure, WriteInFlightLimitsTheStarts)
{
  const LeaseWrite slow{ milliseconds(10'000), milliseconds(3'000) };
  const LeaseWrite fast{ milliseconds(10'100), kSilence };
  const OwnerTenure tenure = OwnerTenure().WithStoredWrite(slow);
  CHECK(tenure.WithSentWrite(fast).StartsUntil() <
        fast.mSentAt + fast.mSilence);
  CHECK(tenure.WithSentWrite(fast).WithStoredWrite(fast).StartsUntil() <
        fast.mSentAt + fast.mSilence);
}

// Guards against a long silence by a slow store that extends starts beyond the
// time of other commands.
TEST(OwnerTenure, StartsEndWithTheCommandsAtTheLatest)
{
  const milliseconds sent(10'000);
  const OwnerTenure tenure =
    OwnerTenure().WithStoredWrite({ sent, milliseconds(6'000) });
  CHECK_EQUAL((sent + OwnerTenure::kCommandTime).count(),
              tenure.StartsUntil().count());
}

TEST(OwnerTenure, SuccessorAssumesStartsForLongerThanItsPredecessorSendsThem)
{
  const milliseconds seen(20'000);
  const LeaseSighting sighting = LeaseSighting().WithRead(1, seen);
  const OwnerTenure former = OwnerTenure().WithStoredWrite({ seen, kSilence });
  const milliseconds elapsed = sighting.LastStartAt(kSilence) - seen;
  CHECK(former.StartsUntil() <= seen + elapsed * 98 / 100);
}
