#ifndef CORNELRUDDER_STATE_ADMISSION_TERMS_H
#define CORNELRUDDER_STATE_ADMISSION_TERMS_H

#include "cornelrudder/state/JobClass.h"

#include <map>

namespace cornelrudder::state {

/** What the settings say about admission. */
class AdmissionTerms
{
public:
  using Classes = std::map<ClassName, JobClass>;
  using Weights = std::map<OrganisationId, int>;

  AdmissionTerms() = default;

  /**
   * @param aClasses All classes.
   * @param aWeights Weight of each active organisation.
   */
  AdmissionTerms(Classes aClasses, Weights aWeights)
    : mClasses(std::move(aClasses))
    , mWeights(std::move(aWeights))
  {
  }

  /** Reads the classes and the active organisations. */
  explicit AdmissionTerms(const SettingsView& aSettings);

  const Classes& AllClasses() const { return mClasses; }
  const Weights& AllWeights() const { return mWeights; }

  auto operator<=>(const AdmissionTerms&) const = default;

private:
  Classes mClasses;
  Weights mWeights;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_TERMS_H
