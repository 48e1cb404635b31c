#ifndef CORNELRUDDER_STATE_JOB_CLASS_H
#define CORNELRUDDER_STATE_JOB_CLASS_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/SettingsDocument.h"

#include <chrono>
#include <optional>

namespace cornelrudder::state {

/** How work of one class is treated. */
class JobClass
{
public:
  /**
   * Reads the class from its settings document `classes/{name}`.
   * @throws StateError if the path does not name a class.
   */
  explicit JobClass(const SettingsDocument& aDocument);

  const ClassName& Name() const { return mName; }

  /** Whether a request may be sent again after a failure. */
  bool Idempotent() const { return mIdempotent; }

  /** Whether a gang may be stopped for another organisation's shape. */
  bool Preemptible() const { return mPreemptible; }

  /** 0 is the least urgent. */
  int Urgency() const { return mUrgency; }

  /** Longest wait in a queue; 0 means that the class never queues. */
  std::chrono::milliseconds MaxWait() const { return mMaxWait; }

  /** Longest run of a request on a runner. */
  std::chrono::milliseconds Timeout() const { return mTimeout; }

  /** Time within which a borrower of this class must give way. */
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

/** @return The class of this name in the settings, or nothing. */
std::optional<JobClass>
FindJobClass(const SettingsSnapshot& aSettings, const ClassName& aName);

/** @return Whether the organisation exists and is active. */
bool
IsActiveOrganisation(const SettingsSnapshot& aSettings,
                     const OrganisationId& aOrganisation);

/** @return Whether the team exists, is active, and its organisation is. */
bool
IsActiveTeam(const SettingsSnapshot& aSettings,
             const OrganisationId& aOrganisation,
             const TeamId& aTeam);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_JOB_CLASS_H
