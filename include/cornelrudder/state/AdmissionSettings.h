#ifndef CORNELRUDDER_STATE_ADMISSION_SETTINGS_H
#define CORNELRUDDER_STATE_ADMISSION_SETTINGS_H

#include "cornelrudder/state/JobClass.h"

#include <map>

namespace cornelrudder::state {

/** The settings that admission uses: job classes and organisation weights. */
class AdmissionSettings
{
public:
  using Classes = std::map<ClassName, JobClass>;
  using Weights = std::map<OrganisationId, int>;

  AdmissionSettings() = default;

  /**
   * @param aClasses All classes by name.
   * @param aWeights Weight of each active organisation.
   */
  AdmissionSettings(Classes aClasses, Weights aWeights)
    : mClasses(std::move(aClasses))
    , mWeights(std::move(aWeights))
  {
  }

  /** Reads the classes and the active organisations. */
  explicit AdmissionSettings(const SettingsSnapshot& aSettings);

  const Classes& AllClasses() const { return mClasses; }
  const Weights& AllWeights() const { return mWeights; }

  auto operator<=>(const AdmissionSettings&) const = default;

private:
  Classes mClasses;
  Weights mWeights;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_SETTINGS_H
