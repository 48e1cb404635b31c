#include "cornelrudder/state/Backoff.h"
#include "cornelrudder/state/CircuitBreaker.h"
#include "cornelrudder/state/RetryBudget.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

TEST_GROUP(StoreRetry){};

// Guards against delays beyond the cap, and against overflow after a long
// outage.
TEST(StoreRetry, BackoffStaysWithinItsCap)
{
  CHECK(rc::check("backoff", [] {
    const int attempt = *rc::gen::inRange(1, 100'000);
    const double random = *rc::gen::inRange(0, 1'000) / 1'000.0;
    const Backoff backoff(milliseconds(50), milliseconds(5'000));
    const milliseconds maxDelay = backoff.MaxDelay(attempt);
    RC_ASSERT(maxDelay >= milliseconds(50));
    RC_ASSERT(maxDelay <= milliseconds(5'000));
    RC_ASSERT(maxDelay <= backoff.MaxDelay(attempt + 1));
    RC_ASSERT(backoff.Delay(attempt, random) <= maxDelay);
    RC_ASSERT(backoff.Delay(attempt, random).count() >= 0);
    RC_ASSERT(backoff.Delay(attempt, 0.0).count() == 0);
  }));
  const Backoff backoff(milliseconds(50), milliseconds(5'000));
  LONGS_EQUAL(50, backoff.MaxDelay(1).count());
  LONGS_EQUAL(400, backoff.MaxDelay(4).count());
  LONGS_EQUAL(5'000, backoff.MaxDelay(8).count());
  CHECK_THROWS(StateError, Backoff(milliseconds(0), milliseconds(1)));
  CHECK_THROWS(StateError, Backoff(milliseconds(2), milliseconds(1)));
}

// Guards against retries that multiply the load during an outage.
TEST(StoreRetry, RetriesStayWithinThePercentage)
{
  CHECK(rc::check("budget", [] {
    const int percent = *rc::gen::inRange(0, 101);
    const int reserve = *rc::gen::inRange(0, 30);
    RetryBudget budget(percent, reserve);
    int firstAttempts = 0;
    int retries = 0;
    for (const bool isRetry : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (!isRetry) {
        budget = budget.WithFirstAttempt();
        ++firstAttempts;
      } else if (const auto next = budget.WithRetry()) {
        budget = *next;
        ++retries;
      }
      RC_ASSERT(retries * 100 <= firstAttempts * percent + reserve * 100);
    }
  }));
  CHECK_THROWS(StateError, RetryBudget(-1, 0));
}

// Guards against a retry budget that never refills.
TEST(StoreRetry, FirstAttemptsAddRetries)
{
  RetryBudget budget = *RetryBudget(10, 1).WithRetry();
  CHECK_FALSE(budget.WithRetry().has_value());
  for (int i = 0; i < 10; ++i) {
    budget = budget.WithFirstAttempt();
  }
  CHECK(budget.WithRetry().has_value());
}

// Guards against a circuit breaker that passes load while open, opens too
// early, or never closes.
TEST(StoreRetry, BreakerLetsOneProbeThroughPerInterval)
{
  CHECK(rc::check("breaker", [] {
    constexpr milliseconds kInterval{ 1'000 };
    CircuitBreaker breaker(5, kInterval);
    milliseconds now{ 0 };
    int consecutiveFailures = 0;
    std::optional<milliseconds> lastProbe;
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(
      200,
      rc::gen::pair(
        rc::gen::weightedElement<bool>({ { 1, true }, { 9, false } }),
        rc::gen::inRange(0, 400)));
    for (const auto& [succeeds, pause] : steps) {
      now += milliseconds(pause);
      RC_ASSERT(breaker.IsOpen() == (consecutiveFailures >= 5));
      const auto sent = breaker.WithRequest(now);
      RC_ASSERT(sent.has_value() || breaker.IsOpen());
      if (!sent) {
        RC_ASSERT(now < *lastProbe + kInterval);
        continue;
      }
      if (breaker.IsOpen()) {
        RC_ASSERT(now >= *lastProbe + kInterval);
      }
      lastProbe = now;
      consecutiveFailures = succeeds ? 0 : consecutiveFailures + 1;
      breaker = succeeds ? sent->WithSuccess() : sent->WithFailure(now);
    }
  }));
  CHECK_THROWS(StateError, CircuitBreaker(0, milliseconds(1)));
}
