#include "TakeoverModel.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;

namespace {

/** Seeds that each test plays; for a search by hand, raise it. */
constexpr std::uint64_t kSeeds = 400;

/** Rules in which an owner acts until it learns of its successor. */
constexpr TakeoverRules kPresumedRules{
  "presumed",           false, &WriteTimes::mSentAt,
  &WriteTimes::mSentAt, true,  &EarlierCommandTimes::mByLoad
};

constexpr TakeoverRules kReplyRules{ "from_reply",
                                     true,
                                     &WriteTimes::mRepliedAt,
                                     &WriteTimes::mRepliedAt,
                                     false,
                                     &EarlierCommandTimes::mBySighting };

/** @return The first violation in the plans of kSeeds, or an empty text. */
std::string
FindViolation(const TakeoverRules& aRules)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TakeoverModel model(aRules, TakeoverPlan::Draw(seed));
    model.Run();
    if (!model.Violations().empty()) {
      return "seed " + std::to_string(seed) + ": " + model.Violations().front();
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

// Guards against a model whose faults would not reveal an owner that acts on.
TEST(TakeoverModel, PresumedTenureIsRejected)
{
  CHECK_TRUE(!FindViolation(kPresumedRules).empty());
}

TEST(TakeoverModel, TenureFromTheReplyIsRejected)
{
  CHECK_TRUE(!FindViolation(kReplyRules).empty());
}
