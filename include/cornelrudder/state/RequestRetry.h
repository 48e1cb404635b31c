#ifndef CORNELRUDDER_STATE_REQUEST_RETRY_H
#define CORNELRUDDER_STATE_REQUEST_RETRY_H

#include "cornelrudder/state/RunnerExchange.h"

#include <chrono>
#include <string_view>

namespace cornelrudder::state {

/**
 * Credit for retries of requests on other runners (RetryBudget limits retries
 * of store operations): each first attempt adds a fraction of a retry, each
 * retry spends a whole one. Unlike a rate limit per second it needs no clock,
 * and it keeps retries from multiplying the load while requests fail.
 */
class RequestRetryBudget
{
public:
  /** Credit per first attempt, in hundredths of a retry: 20%. */
  static constexpr int kRetryPercent = 20;

  /**
   * Largest credit, in retries. It limits the burst of retries that is possible
   * after a long time without failures. It is also the initial credit, so that
   * the first failure after a start can be retried.
   */
  static constexpr int kMaxSavedRetries = 10;

  bool AllowsRetry() const { return mCreditHundredths >= kRetryCost; }

  RequestRetryBudget WithFirstAttempt() const;

  /** Spends one retry; call it only if AllowsRetry(). */
  RequestRetryBudget WithRetry() const;

  auto operator<=>(const RequestRetryBudget&) const = default;

private:
  static constexpr int kRetryCost = 100;

  int mCreditHundredths = kMaxSavedRetries * kRetryCost;
};

enum class RetryDecision
{
  kRetry,
  /** The runner responded. */
  kNotNeeded,
  /** The request may have run and is not idempotent. */
  kMayHaveRun,
  kNoBudget,
  kNoTime,
  /** Decided by the routing task; DecideRetry() never returns it. */
  kNoOtherRunner
};

/** @return The name of a decision, as written to logs. */
std::string_view
RetryDecisionName(RetryDecision aDecision);

/**
 * Decides whether a failed attempt is retried on another runner.
 * @param aIdempotent Whether the request may run twice.
 * @param aTimeLeft Time until the caller's deadline.
 */
RetryDecision
DecideRetry(RunnerStatus aStatus,
            bool aIdempotent,
            const RequestRetryBudget& aBudget,
            std::chrono::milliseconds aTimeLeft);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_REQUEST_RETRY_H
