#ifndef CORNELRUDDER_STATE_RUNNER_EXCHANGE_H
#define CORNELRUDDER_STATE_RUNNER_EXCHANGE_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <string>

namespace cornelrudder::state {

/** One attempt to run a request on one runner. */
class RunDispatch
{
public:
  RunDispatch(std::string aAddress,
              RequestId aRequest,
              ClassName aClass,
              bool aIdempotent,
              std::string aBody,
              std::chrono::milliseconds aTimeout)
    : mAddress(std::move(aAddress))
    , mRequest(std::move(aRequest))
    , mClass(std::move(aClass))
    , mIdempotent(aIdempotent)
    , mBody(std::move(aBody))
    , mTimeout(aTimeout)
  {
  }

  const std::string& Address() const { return mAddress; }
  const RequestId& Request() const { return mRequest; }
  const ClassName& Class() const { return mClass; }
  bool Idempotent() const { return mIdempotent; }
  const std::string& Body() const { return mBody; }
  std::chrono::milliseconds Timeout() const { return mTimeout; }

  auto operator<=>(const RunDispatch&) const = default;

private:
  std::string mAddress;
  RequestId mRequest;
  ClassName mClass;
  bool mIdempotent;
  std::string mBody;
  std::chrono::milliseconds mTimeout;
};

enum class RunnerStatus
{
  /** A complete response to this request arrived. */
  kAnswered,
  /** The runner rejected the request before starting it. */
  kNotStarted,
  /** No byte of the request was sent. */
  kNotSent,
  /** The connection failed or timed out after bytes were sent. */
  kConnectionLost,
  /** The response was incomplete or belonged to another request. */
  kInvalidAnswer,
  /** The runner reported a failure. */
  kFailed
};

/** @return The name of a status, as written to logs and counters. */
std::string_view
RunnerStatusName(RunnerStatus aStatus);

/** Result of an attempt to run a request on a runner. */
class RunnerResult
{
public:
  RunnerResult(RunnerStatus aStatus, bool aLeaving, std::string aBody)
    : mStatus(aStatus)
    , mLeaving(aLeaving)
    , mBody(std::move(aBody))
  {
  }

  RunnerStatus Status() const { return mStatus; }

  /** Whether the runner reported that it is leaving. */
  bool Leaving() const { return mLeaving; }

  /** The response body; empty unless the status is kAnswered. */
  const std::string& Body() const { return mBody; }

  /** @return Whether it is certain that the request did not run. */
  bool CertainlyNotRun() const
  {
    return mStatus == RunnerStatus::kNotStarted ||
           mStatus == RunnerStatus::kNotSent;
  }

  auto operator<=>(const RunnerResult&) const = default;

private:
  RunnerStatus mStatus;
  bool mLeaving;
  std::string mBody;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_RUNNER_EXCHANGE_H
