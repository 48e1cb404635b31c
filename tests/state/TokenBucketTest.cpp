#include "cornelrudder/state/TokenBucket.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

using cornelrudder::state::StateError;
using cornelrudder::state::TokenBucket;
using std::chrono::milliseconds;

namespace {

/** @return Number of tokens that can be taken at a time; empties the bucket. */
int
TakeAll(TokenBucket& aBucket, milliseconds aNow)
{
  int n = 0;
  while (const auto next = aBucket.WithTake(aNow)) {
    aBucket = *next;
    ++n;
  }
  return n;
}

} // namespace

TEST_GROUP(TokenBucket){};

// Guards against a rate that is exceeded after a pause or never regained.
TEST(TokenBucket, BurstIsFollowedByTheRate)
{
  constexpr int kBurst = 5;
  TokenBucket bucket(kBurst, 2);
  CHECK_EQUAL(kBurst, TakeAll(bucket, milliseconds(10'000)));
  CHECK_EQUAL(0, TakeAll(bucket, milliseconds(10'499)));
  CHECK_EQUAL(1, TakeAll(bucket, milliseconds(10'500)));
  CHECK_EQUAL(kBurst, TakeAll(bucket, milliseconds(900'000)));
}

TEST(TokenBucket, ParametersMustBePositive)
{
  CHECK_THROWS(StateError, TokenBucket(0, 1));
  CHECK_THROWS(StateError, TokenBucket(1, 0));
}
