#ifndef CORNELRUDDER_STATE_JOB_COMMAND_H
#define CORNELRUDDER_STATE_JOB_COMMAND_H

#include "cornelrudder/state/Job.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::state {

enum class JobCommandKind
{
  kSubmit,
  kGet,
  kList,
  kCancel,
  kExplain
};

/**
 * A command about jobs. Any daemon accepts it; the domain's owner executes it.
 */
class JobCommand
{
public:
  static JobCommand Submit(JobSpec aSpec)
  {
    return { JobCommandKind::kSubmit, std::nullopt, std::move(aSpec) };
  }
  static JobCommand Get(JobId aJob)
  {
    return { JobCommandKind::kGet, std::move(aJob), std::nullopt };
  }
  static JobCommand List()
  {
    return { JobCommandKind::kList, std::nullopt, std::nullopt };
  }
  static JobCommand Cancel(JobId aJob)
  {
    return { JobCommandKind::kCancel, std::move(aJob), std::nullopt };
  }
  static JobCommand Explain(JobId aJob)
  {
    return { JobCommandKind::kExplain, std::move(aJob), std::nullopt };
  }

  JobCommandKind Kind() const { return mKind; }

  /** Set for kGet, kCancel and kExplain. */
  const std::optional<JobId>& Job() const { return mJob; }

  /** Set for kSubmit. */
  const std::optional<JobSpec>& Spec() const { return mSpec; }

  auto operator<=>(const JobCommand&) const = default;

private:
  JobCommand(JobCommandKind aKind,
             std::optional<JobId> aJob,
             std::optional<JobSpec> aSpec)
    : mKind(aKind)
    , mJob(std::move(aJob))
    , mSpec(std::move(aSpec))
  {
  }

  JobCommandKind mKind;
  std::optional<JobId> mJob;
  std::optional<JobSpec> mSpec;
};

/** The reply to a command about jobs. */
class JobReply
{
public:
  /**
   * @param aReason kNone if the command was executed.
   * @param aRan Whether any task of a rejected job may have run.
   */
  JobReply(FailureReason aReason,
           WasRun aRan,
           std::string aDetail,
           std::vector<Job> aJobs)
    : mReason(aReason)
    , mRan(aRan)
    , mDetail(std::move(aDetail))
    , mJobs(std::move(aJobs))
  {
  }

  FailureReason Reason() const { return mReason; }
  WasRun HasRun() const { return mRan; }

  /** Human-readable explanation. */
  const std::string& Detail() const { return mDetail; }

  /** The jobs concerned; empty if no job has the identifier. */
  const std::vector<Job>& Jobs() const { return mJobs; }

  auto operator<=>(const JobReply&) const = default;

private:
  FailureReason mReason;
  WasRun mRan;
  std::string mDetail;
  std::vector<Job> mJobs;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_COMMAND_H
