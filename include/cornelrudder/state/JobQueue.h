#ifndef CORNELRUDDER_STATE_JOB_QUEUE_H
#define CORNELRUDDER_STATE_JOB_QUEUE_H

#include "cornelrudder/state/FleetSnapshot.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/PlacementStrategy.h"
#include "cornelrudder/state/SettingsDocument.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::state {

/** A queued job with the data that DecideQueue() needs. */
class WaitingJob
{
public:
  /**
   * @param aTeamAcceleratorLimit Accelerators that the team may hold; nothing
   *   if unlimited.
   * @param aAvoidedWorkers Workers on which the job failed before; used only if
   *   the job cannot be placed without them.
   * @param aAtFront Whether the job goes first, because accelerators were
   *   reclaimed for it.
   */
  WaitingJob(JobSpec aSpec,
             int aUrgency,
             bool aPreemptible,
             std::optional<int> aTeamAcceleratorLimit,
             std::set<VmId> aAvoidedWorkers,
             bool aAtFront)
    : mSpec(std::move(aSpec))
    , mUrgency(aUrgency)
    , mPreemptible(aPreemptible)
    , mTeamAcceleratorLimit(aTeamAcceleratorLimit)
    , mAvoidedWorkers(std::move(aAvoidedWorkers))
    , mAtFront(aAtFront)
  {
  }

  const JobSpec& Spec() const { return mSpec; }
  int Urgency() const { return mUrgency; }
  bool Preemptible() const { return mPreemptible; }
  const std::optional<int>& TeamAcceleratorLimit() const
  {
    return mTeamAcceleratorLimit;
  }
  const std::set<VmId>& AvoidedWorkers() const { return mAvoidedWorkers; }
  bool AtFront() const { return mAtFront; }

  auto operator<=>(const WaitingJob&) const = default;

private:
  JobSpec mSpec;
  int mUrgency;
  bool mPreemptible;
  std::optional<int> mTeamAcceleratorLimit;
  std::set<VmId> mAvoidedWorkers;
  bool mAtFront;
};

/** Numbers of accelerators that placed gangs hold. */
struct HeldAccelerators
{
  std::map<OrganisationId, int> mByOrganisation;
  std::map<std::pair<OrganisationId, TeamId>, int> mByTeam;

  auto operator<=>(const HeldAccelerators&) const = default;
};

/** The decision about one queued job. */
struct QueueDecision
{
  JobId mJob;
  PlacementDecision mDecision;
  /** Position in the queue, starting at 1. */
  std::size_t mPosition;

  auto operator<=>(const QueueDecision&) const = default;
};

/**
 * Decides about all queued jobs. They are served by urgency, then by the
 * accelerators that their organisation holds divided by its weight, then by age
 * (identifiers ascend with time). The first job that has to wait for
 * accelerators gets a reservation; later jobs are placed only outside it. A job
 * that exceeds its team's limit waits without a reservation.
 * @param aHeld Accelerators that placed gangs hold now.
 * @param aWeights Weight of each organisation; 1 if absent.
 */
std::vector<QueueDecision>
DecideQueue(const FleetSnapshot& aSnapshot,
            std::vector<WaitingJob> aQueue,
            HeldAccelerators aHeld,
            const std::map<OrganisationId, int>& aWeights,
            const PlacementStrategy& aStrategy);

/** @return The part of a placement that no gang of the snapshot holds. */
GangPlacement
FreeAcceleratorsOf(const FleetSnapshot& aSnapshot,
                   const GangPlacement& aPlacement);

/** @return The active guaranteed shapes of active organisations in a region. */
std::vector<GuaranteedShape>
GuaranteedShapesOf(const SettingsSnapshot& aSettings, const RegionId& aRegion);

/** Limits on the jobs of a team; nothing if unlimited. */
struct TeamLimits
{
  std::optional<int> mAccelerators;
  std::optional<int> mQueuedJobs;

  auto operator<=>(const TeamLimits&) const = default;
};

TeamLimits
TeamLimitsOf(const SettingsSnapshot& aSettings,
             const OrganisationId& aOrganisation,
             const TeamId& aTeam);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_QUEUE_H
