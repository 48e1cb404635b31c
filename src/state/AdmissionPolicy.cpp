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
    return "one queue in order of arrival; the naive baseline";
  }

  std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionTerms& aTerms) const override
  {
    return std::make_unique<FifoAdmission>(aTerms);
  }
};

class FairPolicy final : public AdmissionPolicy
{
public:
  std::string_view Name() const override { return "fair"; }

  std::string_view Description() const override
  {
    return "minimum shares of classes, weighted fair organisations within";
  }

  std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionTerms& aTerms) const override
  {
    return std::make_unique<FairAdmission>(aTerms);
  }
};

const FifoPolicy kFifo;
const FairPolicy kFair;
const std::array<const AdmissionPolicy*, 2> kPolicies{ &kFifo, &kFair };

} // namespace

AdmissionVerdict::AdmissionVerdict(AdmissionKind aKind,
                                   std::optional<AdmissionGrant> aGrant,
                                   std::chrono::milliseconds aWait,
                                   std::string aReason)
  : mKind(aKind)
  , mGrant(std::move(aGrant))
  , mWait(aWait)
  , mReason(std::move(aReason))
{
}

AdmissionVerdict
AdmissionVerdict::Start(AdmissionGrant aGrant)
{
  return {
    AdmissionKind::kStart, std::move(aGrant), std::chrono::milliseconds(0), ""
  };
}

AdmissionVerdict
AdmissionVerdict::Queue(std::chrono::milliseconds aEstimatedWait)
{
  return { AdmissionKind::kQueue, std::nullopt, aEstimatedWait, "" };
}

AdmissionVerdict
AdmissionVerdict::Refuse(std::chrono::milliseconds aRetryAfter,
                         std::string aReason)
{
  return {
    AdmissionKind::kRefuse, std::nullopt, aRetryAfter, std::move(aReason)
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
