#ifndef CORNELRUDDER_STATE_RUN_REQUEST_H
#define CORNELRUDDER_STATE_RUN_REQUEST_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <string>

namespace cornelrudder::state {

/** A request that is to run on a runner. */
class RunRequest
{
public:
  RunRequest(RequestId aId,
             OrganisationId aOrganisation,
             TeamId aTeam,
             ClassName aClass,
             std::string aIdempotencyKey,
             std::string aBody,
             std::chrono::milliseconds aTimeout)
    : mId(std::move(aId))
    , mOrganisation(std::move(aOrganisation))
    , mTeam(std::move(aTeam))
    , mClass(std::move(aClass))
    , mIdempotencyKey(std::move(aIdempotencyKey))
    , mBody(std::move(aBody))
    , mTimeout(aTimeout)
  {
  }

  const RequestId& Name() const { return mId; }
  const OrganisationId& Organisation() const { return mOrganisation; }
  const TeamId& Team() const { return mTeam; }
  const ClassName& Class() const { return mClass; }

  /** Empty if the caller sent no key. */
  const std::string& IdempotencyKey() const { return mIdempotencyKey; }

  const std::string& Body() const { return mBody; }

  /**
   * Timeout set by the caller; 0 means the class's maximum queue wait plus its
   * run timeout.
   */
  std::chrono::milliseconds Timeout() const { return mTimeout; }

  auto operator<=>(const RunRequest&) const = default;

private:
  RequestId mId;
  OrganisationId mOrganisation;
  TeamId mTeam;
  ClassName mClass;
  std::string mIdempotencyKey;
  std::string mBody;
  std::chrono::milliseconds mTimeout;
};

/** Whether work ran; kYes and kNo are used only if they are certain. */
enum class WasRun
{
  kYes,
  kNo,
  kUnknown
};

/** Why work was rejected or failed. */
enum class FailureReason
{
  kNone,
  kUnknownClass,
  kUnknownOrganisation,
  kKeyRequired,
  kKeyReused,
  kInProgress,
  kNoCapacity,
  kOverloaded,
  kTimedOut,
  kEndpointFailed,
  kStoreUnavailable,
  kNeverFits,
  kQuotaExceeded,
  kNoOwner,
  kCancelled,
  kShuttingDown,
  kJobFails,
  /** The request ran, but its response was too long to store. */
  kAnswerNotKept
};

/** @return The name of a reason, as written to responses and logs. */
std::string_view
FailureReasonName(FailureReason aReason);

/** @return "yes", "no" or "unknown". */
std::string_view
WasRunName(WasRun aRan);

/** Outcome of a request: the runner's response, or a failure. */
class RunOutcome
{
public:
  /** @return An outcome with the runner's complete response. */
  static RunOutcome Answered(std::string aBody);

  /**
   * @param aReason Reason of the failure.
   * @param aRan kNo only if it is certain that the request did not run.
   * @param aRetryAfter Delay after which the caller may retry; 0 for never.
   * @param aDetail Explanation for the caller.
   */
  static RunOutcome Failed(FailureReason aReason,
                           WasRun aRan,
                           std::chrono::milliseconds aRetryAfter,
                           std::string aDetail);

  bool IsAnswer() const { return mReason == FailureReason::kNone; }
  FailureReason Reason() const { return mReason; }
  WasRun HasRun() const { return mRan; }
  std::chrono::milliseconds RetryAfter() const { return mRetryAfter; }

  /** The body of the response, or the explanation of a failure. */
  const std::string& Text() const { return mText; }

  auto operator<=>(const RunOutcome&) const = default;

private:
  RunOutcome(FailureReason aReason,
             WasRun aRan,
             std::chrono::milliseconds aRetryAfter,
             std::string aText);

  FailureReason mReason;
  WasRun mRan;
  std::chrono::milliseconds mRetryAfter;
  std::string mText;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RUN_REQUEST_H
