#ifndef CORNELRUDDER_STATE_FAIR_ADMISSION_H
#define CORNELRUDDER_STATE_FAIR_ADMISSION_H

#include "AdmissionEstimates.h"
#include "cornelrudder/state/AdmissionPolicy.h"
#include "cornelrudder/state/PeakWindow.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <tuple>

namespace cornelrudder::state {

/**
 * One queue for each class and organisation.
 *
 * Between classes: a free slot goes to the waiting class that uses the lowest
 * fraction of its minimum share. If all waiting classes use their whole share,
 * the slot goes to the most urgent one. Requests of a class that cannot queue
 * run only if a slot is free on arrival. Part of its share is therefore
 * reserved, as many slots as the sum of the recent peaks of its organisations;
 * other classes may use the rest.
 *
 * Between organisations of a class: start-time fair queueing. The virtual time
 * of an organisation advances by its run time divided by its weight; the
 * organisation with the lowest virtual time is served first. After an idle
 * period its virtual time is raised to that of the class. A start is charged
 * the mean run time of the class; the charge is replaced by the actual run time
 * when the run ends. In a class that cannot queue, an organisation above its
 * share must leave free the slots that the other organisations used at their
 * recent peaks, each up to its own share.
 */
class FairAdmission final : public AdmissionQueue
{
public:
  explicit FairAdmission(const AdmissionSettings& aSettings);
  FairAdmission(const FairAdmission&) = delete;
  FairAdmission& operator=(const FairAdmission&) = delete;

  void Apply(const AdmissionSettings& aSettings) override;
  void SetSlots(int aSlots) override;
  AdmissionDecision Offer(const AdmissionItem& aItem,
                          std::chrono::milliseconds aNow) override;
  std::optional<AdmissionGrant> Next(std::chrono::milliseconds aNow) override;
  std::vector<AdmissionItem> Expire(std::chrono::milliseconds aNow) override;
  std::optional<std::chrono::milliseconds> NextExpiry() const override;
  void ReleaseSlot(const AdmissionGrant& aGrant,
                   std::chrono::milliseconds aRunTime,
                   bool aCompleted) override;
  void AddGrant(const AdmissionGrant& aGrant) override;
  std::vector<AdmissionItem> RemoveWaiting() override;
  int Slots() const override;
  int Running() const override;
  std::size_t Waiting() const override;

private:
  /** Expiry time and arrival number of an item. */
  using ExpiryKey = std::pair<std::chrono::milliseconds, std::uint64_t>;

  struct ClassState;
  struct OrganisationState;

  /** The pointers stay valid: std::map never moves its elements. */
  using Expiries =
    std::map<ExpiryKey, std::pair<ClassState*, OrganisationState*>>;

  struct Entry
  {
    AdmissionItem mItem;
    Expiries::iterator mExpiry;
  };

  struct OrganisationState
  {
    int mWeight = 1;
    int mRunning = 0;
    double mVirtualTime = 0;
    std::size_t mBytes = 0;
    PeakWindow mPeak{ 0 };
    std::deque<Entry> mEntries;
  };

  struct ClassState
  {
    explicit ClassState(JobClass aClass)
      : mClass(std::move(aClass))
    {
    }

    bool CanQueue() const { return mClass.MaxWait().count() > 0; }

    JobClass mClass;
    /** False once the class is removed from the settings. */
    bool mConfigured = true;
    int mRunning = 0;
    std::size_t mWaiting = 0;
    double mVirtualTime = 0;
    /** Sequence number of the last start; breaks ties between classes. */
    std::uint64_t mLastStart = 0;
    RunTimeEstimate mEstimate;
    /** The whole share is reserved until the demand is known. */
    PeakWindow mPeak{ std::numeric_limits<int>::max() };
    std::map<OrganisationId, OrganisationState> mOrganisations;
  };

  using ClassMap = std::map<ClassName, ClassState>;

  ClassState& StateOf(const ClassName& aClass);
  OrganisationState& StateOf(ClassState& aClass,
                             const OrganisationId& aOrganisation);
  int MinimumShare(const ClassState& aClass) const;
  int ReservedSlots(const ClassState& aClass,
                    std::chrono::milliseconds aNow) const;
  int ReservedForOthers(const ClassState* aClass,
                        std::chrono::milliseconds aNow) const;
  int ReservedForOthers(const ClassState& aClass,
                        const OrganisationState& aOrganisation,
                        std::chrono::milliseconds aNow) const;
  bool MayStartNow(const ClassState& aClass,
                   const OrganisationState& aOrganisation,
                   std::chrono::milliseconds aNow) const;
  double EstimateWaitMs(const ClassState& aClass,
                        const OrganisationState& aOrganisation) const;
  ClassState* NextClass();
  static OrganisationState& NextOrganisation(ClassState& aClass);
  AdmissionGrant Admit(ClassState& aClass,
                       OrganisationState& aOrganisation,
                       AdmissionItem aItem);
  void RemoveFront(ClassState& aClass, OrganisationState& aOrganisation);

  ClassMap mClasses;
  std::map<OrganisationId, int> mWeights;
  int mTotalWeight = 0;
  int mSlots = 0;
  int mRunning = 0;
  std::size_t mWaiting = 0;
  std::uint64_t mStarts = 0;
  std::uint64_t mOffers = 0;
  Expiries mExpiries;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FAIR_ADMISSION_H
