#include "cornelrudder/state/AdmissionPolicy.h"

#include "FairAdmission.h"
#include "FifoAdmission.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

namespace {

class FifoPolicy final : public AdmissionPolicy
{
public:
  std::string_view Name() const override { return "fifo"; }

  std::string_view Description() const override
  {
    return "one queue in order of arrival; the baseline";
  }

  std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionSettings& aSettings) const override
  {
    return std::make_unique<FifoAdmission>(aSettings);
  }
};

class FairPolicy final : public AdmissionPolicy
{
public:
  std::string_view Name() const override { return "fair"; }

  std::string_view Description() const override
  {
    return "minimum share per class, weighted fair queueing of organisations";
  }

  std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionSettings& aSettings) const override
  {
    return std::make_unique<FairAdmission>(aSettings);
  }
};

const FifoPolicy kFifo;
const FairPolicy kFair;
const std::array<const AdmissionPolicy*, 2> kPolicies{ &kFifo, &kFair };

} // namespace

AdmissionDecision::AdmissionDecision(AdmissionAction aKind,
                                     std::optional<AdmissionGrant> aGrant,
                                     std::chrono::milliseconds aWait,
                                     std::string aReason)
  : mKind(aKind)
  , mGrant(std::move(aGrant))
  , mWait(aWait)
  , mReason(std::move(aReason))
{
}

AdmissionDecision
AdmissionDecision::Admit(AdmissionGrant aGrant)
{
  return {
    AdmissionAction::kAdmit, std::move(aGrant), std::chrono::milliseconds(0), ""
  };
}

AdmissionDecision
AdmissionDecision::Queue(std::chrono::milliseconds aEstimatedWait)
{
  return { AdmissionAction::kQueue, std::nullopt, aEstimatedWait, "" };
}

AdmissionDecision
AdmissionDecision::Reject(std::chrono::milliseconds aRetryAfter,
                          std::string aReason)
{
  return {
    AdmissionAction::kReject, std::nullopt, aRetryAfter, std::move(aReason)
  };
}

std::span<const AdmissionPolicy* const>
AllAdmissionPolicies()
{
  return kPolicies;
}

const AdmissionPolicy*
FindAdmissionPolicy(std::string_view aName)
{
  const auto* it = std::find_if(
    kPolicies.begin(), kPolicies.end(), [aName](const auto* aPolicy) {
      return aPolicy->Name() == aName;
    });
  return it != kPolicies.end() ? *it : nullptr;
}

} // namespace cornelrudder::state
