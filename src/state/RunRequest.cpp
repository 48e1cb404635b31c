#include "cornelrudder/state/RunRequest.h"

#include <array>

namespace cornelrudder::state {

namespace {

/** Indexed by FailureReason. */
constexpr std::array<std::string_view, 18> kReasonNames{
  "none",
  "unknown_class",
  "unknown_organisation",
  "key_required",
  "key_reused",
  "in_progress",
  "no_capacity",
  "overloaded",
  "timed_out",
  "endpoint_failed",
  "store_unavailable",
  "never_fits",
  "quota_exceeded",
  "no_owner",
  "cancelled",
  "shutting_down",
  "job_fails",
  "answer_not_kept",
};

/** Indexed by WasRun. */
constexpr std::array<std::string_view, 3> kWasRunNames{ "yes",
                                                        "no",
                                                        "unknown" };

} // namespace

std::string_view
FailureReasonName(FailureReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
WasRunName(WasRun aRan)
{
  return kWasRunNames.at(static_cast<std::size_t>(aRan));
}

RunOutcome::RunOutcome(FailureReason aReason,
                       WasRun aRan,
                       std::chrono::milliseconds aRetryAfter,
                       std::string aText)
  : mReason(aReason)
  , mRan(aRan)
  , mRetryAfter(aRetryAfter)
  , mText(std::move(aText))
{
}

RunOutcome
RunOutcome::Answered(std::string aBody)
{
  return { FailureReason::kNone,
           WasRun::kYes,
           std::chrono::milliseconds(0),
           std::move(aBody) };
}

RunOutcome
RunOutcome::Failed(FailureReason aReason,
                   WasRun aRan,
                   std::chrono::milliseconds aRetryAfter,
                   std::string aDetail)
{
  return { aReason, aRan, aRetryAfter, std::move(aDetail) };
}

} // namespace cornelrudder::state
