#include "cornelrudder/state/scheduling/OwnerLease.h"

#include <CppUTest/TestHarness.h>

using cornelrudder::state::scheduling::LeaseObserver;
using cornelrudder::state::scheduling::OwnerLease;
using cornelrudder::state::scheduling::StoreTiming;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kNow{ 100'000 };
constexpr milliseconds kTimeout{ 1'300 };
constexpr milliseconds kInterval{ 400 };
constexpr milliseconds kNone{ 0 };

} // namespace

TEST_GROUP(OwnerLease){};

// Guards against slower takeovers while the store is as fast as usual.
TEST(OwnerLease, UsualCallTimesKeepTheTimeout)
{
  const StoreTiming timing = StoreTiming()
                               .WithRead(kNow, milliseconds(60))
                               .WithRenewal(kNow, milliseconds(60));
  const milliseconds bound = timing.RenewalBound(kNow, kInterval);
  CHECK(timing.SilenceLimit(kNow, bound, kTimeout) == kTimeout);
  CHECK(timing.AcquireSpread(kNow) == kNone);
}

// Guards against a takeover between two renewals of a live owner.
TEST(OwnerLease, SilenceLimitFollowsRenewalsAndReads)
{
  const StoreTiming owner =
    StoreTiming().WithRenewal(kNow, milliseconds(1'700));
  const StoreTiming follower = StoreTiming().WithRead(kNow, milliseconds(320));
  const milliseconds limit =
    follower.SilenceLimit(kNow, owner.RenewalBound(kNow, kInterval), kTimeout);
  LeaseObserver observer(kTimeout);
  observer.Observe(1, kNow);
  observer.Observe(1, kNow + kInterval + milliseconds(1'700));
  CHECK(observer.IsExpired());
  CHECK(!observer.IsExpired(limit));
}

// Guards against a failed owner that is never replaced on a slow store, and
// against a bound in the row that another writer set.
TEST(OwnerLease, SilenceLimitIsBounded)
{
  const StoreTiming timing =
    StoreTiming().WithRenewal(kNow, milliseconds(60'000));
  constexpr milliseconds kLongest{ 6'000 };
  CHECK(timing.RenewalBound(kNow, kInterval) == kLongest);
  CHECK(timing.SilenceLimit(kNow, milliseconds(60'000), kTimeout) == kLongest);
}

// Guards against slow takeovers long after the store was slow.
TEST(OwnerLease, SlowCallsAreForgotten)
{
  constexpr milliseconds kLater = kNow + milliseconds(15'000);
  const StoreTiming timing = StoreTiming()
                               .WithRead(kNow, milliseconds(900))
                               .WithRenewal(kNow, milliseconds(3'000));
  CHECK(timing.RenewalBound(kLater, kInterval) == kInterval);
  CHECK(timing.SilenceLimit(kLater, kNone, kTimeout) == kTimeout);
  CHECK(timing.AcquireSpread(kLater) == kNone);
}

// Guards against a lease row that outgrows the rows of the store with the
// number of queues or silent workers, and against leaving out the longest
// queues.
TEST(OwnerLease, ListsBecomeShorterUntilNoneIsLeft)
{
  OwnerLease lease;
  lease.mPending = { { "long", 9 }, { "short", 1 }, { "middle", 5 } };
  lease.mWorkerLeases = { { "w1", 1 }, { "w2", 2 } };
  lease = lease.WithShorterLists();
  CHECK_EQUAL(1, lease.mWorkerLeases.size());
  CHECK_EQUAL(3, lease.mPending.size());
  lease = lease.WithShorterLists().WithShorterLists();
  CHECK(lease.mWorkerLeases.empty());
  CHECK(lease.mPending ==
        (std::map<std::string, std::uint64_t>{ { "long", 9 } }));
  CHECK(lease.HasLists());
  CHECK(!lease.WithShorterLists().HasLists());
}

// Guards against the same with the number of organisations, and against a total
// that changes with the list.
TEST(OwnerLease, MemoryOfTheLargestOrganisationsIsKept)
{
  OwnerLease lease;
  lease.mJobMemory = { 16,
                       { { "large", 9 }, { "middle", 5 }, { "small", 2 } },
                       1 };
  lease = lease.WithShorterLists();
  CHECK(lease.mJobMemory->mByOrganisation ==
        (std::map<std::string, std::uint64_t>{ { "large", 9 } }));
  CHECK_EQUAL(16, lease.mJobMemory->mBytes);
  CHECK(lease.HasLists());
  CHECK(!lease.WithShorterLists().HasLists());
}
