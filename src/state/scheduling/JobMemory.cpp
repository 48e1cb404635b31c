#include "cornelrudder/state/scheduling/JobMemory.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::state::scheduling {

namespace {

constexpr std::uint64_t kBytesPerJob = 2'048;
/** State of a task, its part in records and views, and its worker's entry. */
constexpr std::uint64_t kBytesPerTask = 1'024;
/** A payload is held in the job and, during a load, in its row. */
constexpr std::uint64_t kPayloadCopies = 2;

/**
 * An organisation may hold this multiple of the memory that all jobs leave: two
 * thirds of the limit if it is the only one.
 */
constexpr std::uint64_t kShareFactor = 2;
/**
 * A further job counts this often, so that large jobs are refused long before
 * small ones.
 */
constexpr std::uint64_t kSizeFactor = 8;
/** The memory left must be this multiple of an organisation's only job. */
constexpr std::uint64_t kFirstJobFactor = 2;
/** Part of the limit that a daemon may accept beyond the owner's report. */
constexpr std::uint64_t kUncountedShare = 8;
/** Part of the limit that is accepted before the report is read again. */
constexpr std::uint64_t kReportShare = 64;

} // namespace

std::uint64_t
JobBytes(const TaskJob& aJob)
{
  return kBytesPerJob + kBytesPerTask * aJob.Tasks() +
         kPayloadCopies * aJob.Payload().size();
}

JobAdmission
JobAdmission::WithReport(std::optional<JobMemory> aReport) const
{
  JobAdmission next = *this;
  const std::uint64_t counted = aReport ? aReport->mJobsVersion : 0;
  std::erase_if(next.mUncounted, [&](const Uncounted& aJob) {
    return aJob.mVersion != 0 && (!aReport || aJob.mVersion <= counted);
  });
  next.mReport = std::move(aReport);
  next.mAcceptedSinceReport = 0;
  return next;
}

JobAdmission
JobAdmission::WithAccepted(std::uint64_t aCall,
                           const std::string& aOrganisation,
                           std::uint64_t aBytes) const
{
  JobAdmission next = WithEnded(aCall);
  next.mUncounted.push_back({ aCall, aOrganisation, aBytes });
  next.mAcceptedSinceReport += aBytes;
  return next;
}

JobAdmission
JobAdmission::WithStored(std::uint64_t aCall, std::uint64_t aVersion) const
{
  JobAdmission next = *this;
  for (Uncounted& job : next.mUncounted) {
    if (job.mCall == aCall) {
      job.mVersion = aVersion;
    }
  }
  return next;
}

JobAdmission
JobAdmission::WithEnded(std::uint64_t aCall) const
{
  JobAdmission next = *this;
  std::erase_if(next.mUncounted, [aCall](const Uncounted& aJob) {
    return aJob.mCall == aCall && aJob.mVersion == 0;
  });
  return next;
}

AdmissionVerdict
JobAdmission::Judge(const std::string& aOrganisation,
                    std::uint64_t aBytes) const
{
  if (aBytes > mLimit / kFirstJobFactor) {
    return AdmissionVerdict::kTooLarge;
  }
  if (!mReport) {
    return AdmissionVerdict::kAccepted;
  }
  const std::uint64_t used = Used();
  const std::uint64_t left = mLimit - std::min(mLimit, used);
  const std::uint64_t held = HeldBy(aOrganisation);
  const std::uint64_t share = kShareFactor * left;
  const std::uint64_t weighted = kSizeFactor * aBytes;
  if (held == 0 ? kFirstJobFactor * aBytes > left : weighted > share) {
    return AdmissionVerdict::kMemoryUsed;
  }
  if (held > 0 && weighted + held > share) {
    return AdmissionVerdict::kShareUsed;
  }
  const std::uint64_t uncounted = UncountedBytes();
  return uncounted > 0 && uncounted + aBytes > mLimit / kUncountedShare
           ? AdmissionVerdict::kUnconfirmed
           : AdmissionVerdict::kAccepted;
}

bool
JobAdmission::NeedsReport(const std::string& aOrganisation,
                          std::uint64_t aBytes) const
{
  const AdmissionVerdict verdict = Judge(aOrganisation, aBytes);
  return verdict != AdmissionVerdict::kTooLarge &&
         (verdict != AdmissionVerdict::kAccepted ||
          mAcceptedSinceReport + aBytes > mLimit / kReportShare);
}

std::uint64_t
JobAdmission::Used() const
{
  return (mReport ? mReport->mBytes : 0) + UncountedBytes();
}

std::uint64_t
JobAdmission::UncountedBytes() const
{
  std::uint64_t bytes = 0;
  for (const Uncounted& job : mUncounted) {
    bytes += job.mBytes;
  }
  return bytes;
}

std::uint64_t
JobAdmission::HeldBy(const std::string& aOrganisation) const
{
  std::uint64_t bytes = 0;
  if (mReport) {
    const auto it = mReport->mByOrganisation.find(aOrganisation);
    bytes = it != mReport->mByOrganisation.end() ? it->second : 0;
  }
  for (const Uncounted& job : mUncounted) {
    bytes += job.mOrganisation == aOrganisation ? job.mBytes : 0;
  }
  return bytes;
}

} // namespace cornelrudder::state::scheduling
