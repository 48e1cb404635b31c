#ifndef CORNELRUDDER_STATE_REQUEST_RETRY_H
#define CORNELRUDDER_STATE_REQUEST_RETRY_H

#include "cornelrudder/state/RunnerExchange.h"

#include <chrono>
#include <string_view>

namespace cornelrudder::state {

/**
 * Credit for retries: each first attempt adds a part of a retry, each retry
 * takes a whole one. Unlike a rate per time it needs no clock, and retries
 * never multiply a load that already fails.
 */
class RequestRetryBudget
{
public:
  /** 20% of first attempts, counted in hundredths of a retry. */
  static constexpr int kRetryPercent = 20;

  /**
   * Most retries saved up, so that a long calm does not pay for a storm. Also
   * the initial credit, so that the first failure after a start is retried.
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
  /** The attempt was answered. */
  kNotNeeded,
  /** It may have run, and running twice is not allowed. */
  kMayHaveRun,
  kNoBudget,
  kNoTime,
  kNoOtherRunner
};

/** @return The name of a decision in logs. */
std::string_view
RetryDecisionName(RetryDecision aDecision);

/**
 * Decides whether a failed attempt is repeated on another runner.
 * @param aIdempotent Whether the request may run twice.
 * @param aTimeLeft Until the caller's deadline.
 */
RetryDecision
DecideRetry(RunnerStatus aStatus,
            bool aIdempotent,
            const RequestRetryBudget& aBudget,
            std::chrono::milliseconds aTimeLeft);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_REQUEST_RETRY_H
