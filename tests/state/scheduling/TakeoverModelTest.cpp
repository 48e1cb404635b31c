#include "TakeoverModel.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;

namespace {

/** Seeds that each test plays; a search by hand takes many thousands. */
constexpr std::uint64_t kSeeds = 500;

/** Rules that the model must reject. */
constexpr TakeoverRules kPresumedRules{ "presumed",
                                        false,
                                        true,
                                        &EarlierCommandTimes::mByLoad };
constexpr TakeoverRules kUnlimitedRules{ "unlimited",
                                         false,
                                         false,
                                         &EarlierCommandTimes::mBySighting };
constexpr TakeoverRules kUnawareRules{ "unaware",
                                       true,
                                       false,
                                       &EarlierCommandTimes::mNone };

constexpr TakeoverRules kUnlimitedStartRules{ "unlimited starts",
                                              true,
                                              false,
                                              &EarlierCommandTimes::mBySighting,
                                              false,
                                              &EarlierCommandTimes::mNone };

/** @return A plan in which the owner loses a worker that has restarted. */
TakeoverPlan
DrawLostRestart(std::uint64_t aSeed)
{
  constexpr milliseconds kCutTime{ 11'000 };
  Draws draws(aSeed);
  TakeoverPlan plan;
  plan.mSeed = aSeed;
  TakeoverFault restart;
  restart.mKind = TakeoverFaultKind::kWorkerRestart;
  restart.mAt = draws.Between(milliseconds(4'000), milliseconds(14'000));
  restart.mWorkers = 1;
  TakeoverFault cut = restart;
  cut.mKind = TakeoverFaultKind::kLinkDown;
  cut.mAt += draws.Between(milliseconds(300), milliseconds(4'500));
  cut.mFor = kCutTime;
  plan.mFaults = { restart, cut };
  return plan;
}

/**
 * @return A plan in which the owner pauses for long enough to be replaced, when
 *   it would start runs, and each worker restarts about the time of the
 *   takeover.
 */
TakeoverPlan
DrawRestartDuringPause(std::uint64_t aSeed)
{
  Draws draws(aSeed);
  TakeoverPlan plan;
  plan.mSeed = aSeed;
  plan.mWorkers = 2 + draws.Below(3);
  plan.mLongestLease = milliseconds(draws.Chance(0.5) ? 6'000 : 10'000);
  TakeoverFault pause;
  pause.mKind = draws.Chance(0.5) ? TakeoverFaultKind::kPauseAtReply
                                  : TakeoverFaultKind::kPauseAtSend;
  pause.mAt = draws.Between(milliseconds(4'000), milliseconds(14'000));
  pause.mFor = draws.Between(milliseconds(1'400), milliseconds(3'500));
  plan.mFaults.push_back(pause);
  for (std::size_t i = 0; i < plan.mWorkers; ++i) {
    TakeoverFault restart;
    restart.mKind = TakeoverFaultKind::kWorkerRestart;
    restart.mAt =
      pause.mAt + draws.Between(milliseconds(1'300), milliseconds(5'000));
    restart.mWorkers = 1U << i;
    plan.mFaults.push_back(restart);
  }
  return plan;
}

/** @return The first violation in the plans of kSeeds, or an empty text. */
std::string
FindViolation(const TakeoverRules& aRules,
              TakeoverPlan (*aDraw)(std::uint64_t) = &TakeoverPlan::Draw)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TakeoverModel model(aRules, aDraw(seed));
    model.Run();
    if (!model.Violations().empty()) {
      return std::string(aRules.mName) + ", seed " + std::to_string(seed) +
             ": " + model.Violations().front();
    }
  }
  return "";
}

} // namespace

TEST_GROUP(TakeoverModel){};

TEST(TakeoverModel, NoTwoRunsAcrossTakeovers)
{
  STRCMP_EQUAL("", FindViolation(kTenureRules).c_str());
}

// An owner that acts until it learns of its successor, which presumes 2.5 s.
TEST(TakeoverModel, PresumedTenureIsRejected)
{
  CHECK_FALSE(FindViolation(kPresumedRules).empty());
}

// An owner that acts beyond the tenure that its successor assumes.
TEST(TakeoverModel, UnlimitedTenureIsRejected)
{
  CHECK_FALSE(FindViolation(kUnlimitedRules).empty());
}

// A successor that does not allow for the tenure of the former owner.
TEST(TakeoverModel, UnawareSuccessorIsRejected)
{
  CHECK_FALSE(FindViolation(kUnawareRules).empty());
}

// Guards against a lease by the clock of a worker's earlier incarnation.
TEST(TakeoverModel, RestartedWorkerKeepsNoRunsThatItsOwnerReplaces)
{
  STRCMP_EQUAL("", FindViolation(kTenureRules, &DrawLostRestart).c_str());
}

// Guards against a start by a former owner on a worker that knows no epoch any
// more, after its successor has started the task elsewhere.
TEST(TakeoverModel, RestartedWorkerStartsNoRunOfAFormerOwner)
{
  STRCMP_EQUAL("",
               FindViolation(kTenureRules, &DrawRestartDuringPause).c_str());
}

// An owner that starts runs for as long as it extends leases.
TEST(TakeoverModel, StartsWithoutALimitOfTheirOwnAreRejected)
{
  CHECK_FALSE(
    FindViolation(kUnlimitedStartRules, &DrawRestartDuringPause).empty());
}
