#include "cornelrudder/state/RequestRetry.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

namespace {

struct StatusRule
{
  bool mFailed;
  /** Whether the request certainly did not run. */
  bool mNotRun;
};

/** Indexed by RunnerStatus. */
constexpr std::array<StatusRule, 6> kStatusRules{ {
  { false, false }, // kAnswered
  { true, true },   // kNotStarted
  { true, true },   // kNotSent
  { true, false },  // kConnectionLost
  { true, false },  // kInvalidAnswer
  { true, false },  // kFailed
} };

} // namespace

RequestRetryBudget
RequestRetryBudget::WithFirstAttempt() const
{
  RequestRetryBudget budget;
  budget.mCreditHundredths =
    std::min(mCreditHundredths + kRetryPercent, kMaxSavedRetries * kRetryCost);
  return budget;
}

RequestRetryBudget
RequestRetryBudget::WithRetry() const
{
  RequestRetryBudget budget;
  budget.mCreditHundredths = mCreditHundredths - kRetryCost;
  return budget;
}

std::string_view
RetryDecisionName(RetryDecision aDecision)
{
  static constexpr std::array<std::string_view, 6> kNames{
    "retry",     "not_needed", "may_have_run",
    "no_budget", "no_time",    "no_other_runner",
  };
  return kNames.at(static_cast<std::size_t>(aDecision));
}

RetryDecision
DecideRetry(RunnerStatus aStatus,
            bool aIdempotent,
            const RequestRetryBudget& aBudget,
            std::chrono::milliseconds aTimeLeft)
{
  const StatusRule rule = kStatusRules.at(static_cast<std::size_t>(aStatus));
  if (!rule.mFailed) {
    return RetryDecision::kNotNeeded;
  }
  if (!aIdempotent && !rule.mNotRun) {
    return RetryDecision::kMayHaveRun;
  }
  if (aTimeLeft.count() <= 0) {
    return RetryDecision::kNoTime;
  }
  return aBudget.AllowsRetry() ? RetryDecision::kRetry
                               : RetryDecision::kNoBudget;
}

} // namespace cornelrudder::state
