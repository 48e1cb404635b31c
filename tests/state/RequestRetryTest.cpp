#include "cornelrudder/state/RequestRetry.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

RetryDecision
Decide(RunnerStatus aStatus, bool aIdempotent)
{
  return DecideRetry(aStatus, aIdempotent, {}, milliseconds(100));
}

} // namespace

TEST_GROUP(RequestRetry){};

// Guards against a second run of a request that must run at most once.
TEST(RequestRetry, NonIdempotentIsRetriedOnlyIfNothingRan)
{
  CHECK(Decide(RunnerStatus::kNotStarted, false) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kNotSent, false) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kConnectionLost, false) ==
        RetryDecision::kMayHaveRun);
  CHECK(Decide(RunnerStatus::kInvalidAnswer, false) ==
        RetryDecision::kMayHaveRun);
  CHECK(Decide(RunnerStatus::kFailed, false) == RetryDecision::kMayHaveRun);
}

// Guards against failures that are reported although a retry could succeed.
TEST(RequestRetry, IdempotentIsRetriedAfterEachFailure)
{
  CHECK(Decide(RunnerStatus::kNotStarted, true) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kNotSent, true) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kConnectionLost, true) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kInvalidAnswer, true) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kFailed, true) == RetryDecision::kRetry);
  CHECK(Decide(RunnerStatus::kAnswered, true) == RetryDecision::kNotNeeded);
}

// Guards against an attempt that starts after the caller's deadline.
TEST(RequestRetry, NoRetryAfterTheDeadline)
{
  CHECK(DecideRetry(RunnerStatus::kFailed, true, {}, milliseconds(0)) ==
        RetryDecision::kNoTime);
}

// Guards against retries that multiply the load while all requests fail.
TEST(RequestRetry, RetriesStayWithinTwentyPercent)
{
  CHECK(rc::check("retries are at most 20% of first attempts", [] {
    RequestRetryBudget budget;
    const int attempts = *rc::gen::inRange(0, 2'000);
    int retries = 0;
    for (int i = 0; i < attempts; ++i) {
      budget = budget.WithFirstAttempt();
      while (budget.AllowsRetry() && *rc::gen::inRange(0, 3) != 0) {
        budget = budget.WithRetry();
        ++retries;
      }
    }
    RC_ASSERT(retries <= attempts / 5 + RequestRetryBudget::kMaxSavedRetries);
  }));
}
