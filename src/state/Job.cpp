#include "cornelrudder/state/Job.h"

#include <array>

namespace cornelrudder::state {

std::string_view
JobStateName(JobState aState)
{
  static constexpr std::array<std::string_view, 10> kNames{
    "queued",   "placed", "reserved", "committed", "running",
    "stopping", "done",   "failed",   "refused",   "cancelled"
  };
  return kNames.at(static_cast<std::size_t>(aState));
}

bool
IsFinal(JobState aState)
{
  return aState >= JobState::kSucceeded;
}

Job
Job::Queued(JobSpec aSpec)
{
  return { std::move(aSpec), JobState::kQueued,    0,           0,
           GangPlacement(),  FailureReason::kNone, WasRun::kNo, "" };
}

Job::Job(JobSpec aSpec,
         JobState aState,
         std::uint32_t aAttempt,
         std::uint64_t aEpoch,
         GangPlacement aPlacement,
         FailureReason aReason,
         WasRun aRan,
         std::string aDetail)
  : mSpec(std::move(aSpec))
  , mState(aState)
  , mAttempt(aAttempt)
  , mEpoch(aEpoch)
  , mPlacement(std::move(aPlacement))
  , mReason(aReason)
  , mRan(aRan)
  , mDetail(std::move(aDetail))
{
}

Job
Job::WithState(JobState aState) const
{
  Job job = *this;
  job.mState = aState;
  return job;
}

Job
Job::WithPlacement(GangPlacement aPlacement, std::uint64_t aEpoch) const
{
  Job job = WithState(JobState::kPlaced);
  job.mAttempt = mAttempt + 1;
  job.mEpoch = aEpoch;
  job.mPlacement = std::move(aPlacement);
  return job;
}

Job
Job::WithOutcome(JobState aState,
                 FailureReason aReason,
                 WasRun aRan,
                 std::string aDetail) const
{
  Job job = WithState(aState);
  job.mPlacement = GangPlacement();
  job.mReason = aReason;
  job.mRan = aRan;
  job.mDetail = std::move(aDetail);
  return job;
}

} // namespace cornelrudder::state
