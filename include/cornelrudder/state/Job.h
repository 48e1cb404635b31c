#ifndef CORNELRUDDER_STATE_JOB_H
#define CORNELRUDDER_STATE_JOB_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/Shape.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

/** A caller's request for a gang of tasks on adjacent accelerators. */
class JobSpec
{
public:
  JobSpec(JobId aId,
          OrganisationId aOrganisation,
          TeamId aTeam,
          ClassName aClass,
          Shape aShape,
          std::string aIdempotencyKey,
          std::chrono::seconds aExpectedRunTime)
    : mId(std::move(aId))
    , mOrganisation(std::move(aOrganisation))
    , mTeam(std::move(aTeam))
    , mClass(std::move(aClass))
    , mShape(aShape)
    , mIdempotencyKey(std::move(aIdempotencyKey))
    , mExpectedRunTime(aExpectedRunTime)
  {
  }

  const JobId& Name() const { return mId; }
  const OrganisationId& Organisation() const { return mOrganisation; }
  const TeamId& Team() const { return mTeam; }
  const ClassName& Class() const { return mClass; }
  const Shape& GangShape() const { return mShape; }

  /** Repeated submissions with the same key return the same job. */
  const std::string& IdempotencyKey() const { return mIdempotencyKey; }

  /** The caller's estimate; often far off, so no decision may depend on it. */
  std::chrono::seconds ExpectedRunTime() const { return mExpectedRunTime; }

  auto operator<=>(const JobSpec&) const = default;

private:
  JobId mId;
  OrganisationId mOrganisation;
  TeamId mTeam;
  ClassName mClass;
  Shape mShape;
  std::string mIdempotencyKey;
  std::chrono::seconds mExpectedRunTime;
};

/** The accelerators that a gang member holds on its worker. */
class MemberPlacement
{
public:
  MemberPlacement(VmId aWorker, std::vector<int> aAccelerators)
    : mWorker(std::move(aWorker))
    , mAccelerators(std::move(aAccelerators))
  {
  }

  const VmId& Worker() const { return mWorker; }

  /** Accelerator indexes, starting at 0, in ascending order. */
  const std::vector<int>& Accelerators() const { return mAccelerators; }

  auto operator<=>(const MemberPlacement&) const = default;

private:
  VmId mWorker;
  std::vector<int> mAccelerators;
};

/** The workers and accelerators of all members of a gang. */
class GangPlacement
{
public:
  GangPlacement() = default;

  explicit GangPlacement(std::vector<MemberPlacement> aMembers)
    : mMembers(std::move(aMembers))
  {
  }

  const std::vector<MemberPlacement>& Members() const { return mMembers; }

  auto operator<=>(const GangPlacement&) const = default;

private:
  std::vector<MemberPlacement> mMembers;
};

/**
 * State of a job. Rows contain neither kReserved nor kRunning: these are only
 * reported to callers, while the row has state kPlaced or kCommitted.
 */
enum class JobState
{
  kQueued,
  kPlaced,
  kReserved,
  kCommitted,
  kRunning,
  kStopping,
  kSucceeded,
  kFailed,
  kRefused,
  kCancelled
};

/** @return The lower-case name of a state. */
std::string_view
JobStateName(JobState aState);

/** @return Whether a job in this state never changes again. */
bool
IsFinal(JobState aState);

/** A job as stored in its table row. */
class Job
{
public:
  /** @return A new job in state kQueued with attempt 0. */
  static Job Queued(JobSpec aSpec);

  Job(JobSpec aSpec,
      JobState aState,
      std::uint32_t aAttempt,
      std::uint64_t aEpoch,
      GangPlacement aPlacement,
      FailureReason aReason,
      WasRun aRan,
      std::string aDetail);

  const JobSpec& Spec() const { return mSpec; }
  JobState State() const { return mState; }

  /** Number of the latest placement of the job; numbers are never reused. */
  std::uint32_t Attempt() const { return mAttempt; }

  /** Epoch of the owner's lease when the current attempt was placed. */
  std::uint64_t Epoch() const { return mEpoch; }

  const GangPlacement& Placement() const { return mPlacement; }
  FailureReason Reason() const { return mReason; }
  WasRun HasRun() const { return mRan; }
  const std::string& Detail() const { return mDetail; }

  Job WithState(JobState aState) const;

  /** @return The job with its next attempt, in state kPlaced. */
  Job WithPlacement(GangPlacement aPlacement, std::uint64_t aEpoch) const;

  /** @return The job without placement, in a final state or queued again. */
  Job WithOutcome(JobState aState,
                  FailureReason aReason,
                  WasRun aRan,
                  std::string aDetail) const;

  auto operator<=>(const Job&) const = default;

private:
  JobSpec mSpec;
  JobState mState;
  std::uint32_t mAttempt;
  std::uint64_t mEpoch;
  GangPlacement mPlacement;
  FailureReason mReason;
  WasRun mRan;
  std::string mDetail;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_H
