#ifndef CORNELRUDDER_STATE_JOB_CLASS_H
#define CORNELRUDDER_STATE_JOB_CLASS_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/SettingsDocument.h"

#include <chrono>
#include <optional>

namespace cornelrudder::state {

/** Scheduling rules for the jobs and requests of one class. */
class JobClass
{
public:
  /**
   * Reads the class from its settings document `classes/{name}`.
   * @throws StateError if the path does not name a class.
   */
  explicit JobClass(const SettingsDocument& aDocument);

  const ClassName& Name() const { return mName; }

  /** Whether work of this class may be retried after a failure. */
  bool Idempotent() const { return mIdempotent; }

  /** Whether a gang may be stopped for a guaranteed shape. */
  bool Preemptible() const { return mPreemptible; }

  /** Higher values are more urgent; 0 is the least urgent. */
  int Urgency() const { return mUrgency; }

  /** Maximum time in a queue; 0 if requests of the class are not queued. */
  std::chrono::milliseconds MaxWait() const { return mMaxWait; }

  /** Maximum run time of a request on a runner. */
  std::chrono::milliseconds Timeout() const { return mTimeout; }

  /** Time limit for checkpoints before a preempted gang is stopped. */
  std::chrono::milliseconds ReclaimTimeout() const { return mReclaimTimeout; }

  /** Share of the slots, relative to the other classes. */
  int Weight() const { return mWeight; }

  auto operator<=>(const JobClass&) const = default;

private:
  ClassName mName;
  bool mIdempotent;
  bool mPreemptible;
  int mUrgency;
  std::chrono::milliseconds mMaxWait;
  std::chrono::milliseconds mTimeout;
  std::chrono::milliseconds mReclaimTimeout;
  int mWeight;
};

/** @return The class of this name, or nothing if the settings have none. */
std::optional<JobClass>
FindJobClass(const SettingsSnapshot& aSettings, const ClassName& aName);

/** @return Whether the organisation exists and is active. */
bool
IsActiveOrganisation(const SettingsSnapshot& aSettings,
                     const OrganisationId& aOrganisation);

/**
 * @return Whether the team exists and both it and its organisation are active.
 */
bool
IsActiveTeam(const SettingsSnapshot& aSettings,
             const OrganisationId& aOrganisation,
             const TeamId& aTeam);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_CLASS_H
