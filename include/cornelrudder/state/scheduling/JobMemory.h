#ifndef CORNELRUDDER_STATE_SCHEDULING_JOB_MEMORY_H
#define CORNELRUDDER_STATE_SCHEDULING_JOB_MEMORY_H

#include "cornelrudder/state/scheduling/TaskJob.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Memory for jobs in a process whose VM does not tell its memory, in bytes. */
constexpr std::uint64_t kDefaultJobBytes = 64UL * 1024 * 1024;

/** @return Estimate of the memory that an owner needs for a job, in bytes. */
std::uint64_t
JobBytes(const TaskJob& aJob);

/** Estimated memory of the jobs that an owner has read and that still run. */
struct JobMemory
{
  std::uint64_t mBytes = 0;
  /** By organisation; those with the least may be left out. */
  std::map<std::string, std::uint64_t> mByOrganisation;
  /** Version of the store up to which the owner has read the jobs. */
  std::uint64_t mJobsVersion = 0;

  auto operator<=>(const JobMemory&) const = default;
};

/** Whether a submission is accepted. */
enum class AdmissionVerdict
{
  kAccepted,
  /** The job would not even be accepted alone. */
  kTooLarge,
  /** The memory that all jobs leave is too small for a job of this size. */
  kMemoryUsed,
  /** The organisation holds nearly twice as much as is left. */
  kShareUsed,
  /** The owner has not read enough of the jobs accepted here before. */
  kUnconfirmed
};

/**
 * Limits the memory of all accepted jobs from one daemon's point of view: the
 * owner's last report and the jobs accepted here that it does not contain. A
 * value type.
 *
 * Daemons do not see each other's submissions before the owner does. Each
 * therefore accepts no more than a part of the limit, or one job, beyond what
 * the owner has reported.
 */
class JobAdmission
{
public:
  /** @param aLimit Memory of all jobs, in bytes. */
  explicit JobAdmission(std::uint64_t aLimit)
    : mLimit(aLimit)
  {
  }

  /**
   * @param aReport Report of the owner; nothing if there is none, or if the
   *   owner is of a version that reports no memory.
   */
  JobAdmission WithReport(std::optional<JobMemory> aReport) const;

  /** @return The state after a job was accepted whose write is in flight. */
  JobAdmission WithAccepted(std::uint64_t aCall,
                            const std::string& aOrganisation,
                            std::uint64_t aBytes) const;

  /** @param aVersion Version of the store with the job of a call. */
  JobAdmission WithStored(std::uint64_t aCall, std::uint64_t aVersion) const;

  /** @return The state after a call whose write has no known version. */
  JobAdmission WithEnded(std::uint64_t aCall) const;

  AdmissionVerdict Judge(const std::string& aOrganisation,
                         std::uint64_t aBytes) const;

  /**
   * @return Whether a newer report is needed to judge a job: the present one
   *   would refuse it, or much was accepted since.
   */
  bool NeedsReport(const std::string& aOrganisation,
                   std::uint64_t aBytes) const;

  std::uint64_t Limit() const { return mLimit; }

  /** @return Memory of the reported jobs and of those accepted here since. */
  std::uint64_t Used() const;

  auto operator<=>(const JobAdmission&) const = default;

private:
  /** A job accepted here that the report does not contain. */
  struct Uncounted
  {
    std::uint64_t mCall;
    std::string mOrganisation;
    std::uint64_t mBytes;
    /** 0 while the write is in flight. */
    std::uint64_t mVersion = 0;

    auto operator<=>(const Uncounted&) const = default;
  };

  std::uint64_t UncountedBytes() const;
  std::uint64_t HeldBy(const std::string& aOrganisation) const;

  std::uint64_t mLimit;
  std::optional<JobMemory> mReport;
  std::vector<Uncounted> mUncounted;
  std::uint64_t mAcceptedSinceReport = 0;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_JOB_MEMORY_H
