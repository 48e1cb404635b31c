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
 * Queues per class and organisation.
 *
 * Between classes: a free slot goes to a waiting class that holds fewer slots
 * than its minimum share, the one with the lowest part of it first; when there
 * is none, to the most urgent waiting class. A class that cannot queue gets its
 * share only from slots that are free when a request comes. Therefore slots of
 * its share are kept free, as many as its organisations held at their recent
 * peaks; the rest is lent.
 *
 * Between organisations of a class: start-time fair queueing. Each organisation
 * has a virtual time, the run time it was given divided by its weight; the
 * lowest goes first. A start is charged the class's mean run time and corrected
 * when the run ends. In a class that cannot queue, an organisation beyond its
 * share leaves the others' recent peaks free in the same way as classes do.
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
  /** Position in the order of expiry. */
  using ExpiryKey = std::pair<std::chrono::milliseconds, std::uint64_t>;

  struct ClassState;
  struct OrganisationState;

  /** Nodes of the maps stay in place, so that pointers to them stay valid. */
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

    bool Queues() const { return mClass.MaxWait().count() > 0; }

    JobClass mClass;
    /** False once the settings no longer name the class. */
    bool mCurrent = true;
    int mRunning = 0;
    std::size_t mWaiting = 0;
    double mVirtualTime = 0;
    /** Number of the last start; breaks ties, so that all get a turn. */
    std::uint64_t mLastStart = 0;
    RunTimeEstimate mEstimate;
    /** The whole share is kept until the demand has been seen. */
    PeakWindow mPeak{ std::numeric_limits<int>::max() };
    std::map<OrganisationId, OrganisationState> mOrganisations;
  };

  using ClassMap = std::map<ClassName, ClassState>;

  ClassState& StateOf(const ClassName& aClass);
  OrganisationState& StateOf(ClassState& aClass,
                             const OrganisationId& aOrganisation);
  int MinimumShare(const ClassState& aClass) const;
  int KeptFree(const ClassState& aClass, std::chrono::milliseconds aNow) const;
  int KeptForOthers(const ClassState* aClass,
                    std::chrono::milliseconds aNow) const;
  int KeptForOthers(const ClassState& aClass,
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
