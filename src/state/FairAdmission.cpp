#include "FairAdmission.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

namespace {

/** A smaller share would lose more than an eighth to the slot kept free. */
constexpr int kLeastShareForSilent = 8;

} // namespace

FairAdmission::FairAdmission(const AdmissionSettings& aSettings)
{
  Apply(aSettings);
}

void
FairAdmission::Apply(const AdmissionSettings& aSettings)
{
  mWeights = aSettings.AllWeights();
  for (auto& [name, state] : mClasses) {
    state.mCurrent = false;
  }
  mTotalWeight = 0;
  for (const auto& [name, jobClass] : aSettings.AllClasses()) {
    ClassState& state = mClasses.try_emplace(name, jobClass).first->second;
    state.mClass = jobClass;
    state.mCurrent = true;
    mTotalWeight += jobClass.Weight();
    for (const auto& [organisation, weight] : mWeights) {
      state.mOrganisations[organisation].mWeight = weight;
    }
    std::erase_if(state.mOrganisations, [this](const auto& aPair) {
      const auto& [id, organisation] = aPair;
      return organisation.mRunning == 0 && organisation.mEntries.empty() &&
             !mWeights.contains(id);
    });
  }
}

void
FairAdmission::SetSlots(int aSlots)
{
  mSlots = aSlots;
}

AdmissionDecision
FairAdmission::Offer(const AdmissionItem& aItem, std::chrono::milliseconds aNow)
{
  ClassState& jobClass = StateOf(aItem.Class());
  OrganisationState& organisation = StateOf(jobClass, aItem.Organisation());
  if (!jobClass.Queues()) {
    // Refused requests count as demand too, or the share would never grow.
    jobClass.mPeak = jobClass.mPeak.WithSample(aNow, jobClass.mRunning + 1);
    organisation.mPeak =
      organisation.mPeak.WithSample(aNow, organisation.mRunning + 1);
  }
  if (MayStartNow(jobClass, organisation, aNow)) {
    return AdmissionDecision::Admit(Admit(jobClass, organisation, aItem));
  }
  const double waitMs = EstimateWaitMs(jobClass, organisation);
  const auto retryAfter = RetryAfter(waitMs, jobClass.mClass);
  if (!jobClass.Queues()) {
    return AdmissionDecision::Reject(retryAfter, "no slot is free");
  }
  if (waitMs > static_cast<double>(jobClass.mClass.MaxWait().count())) {
    return AdmissionDecision::Reject(retryAfter,
                                     "the estimated wait is too long");
  }
  const std::size_t maxBytes =
    AdmissionLimits::kMaxBytes /
    std::max<std::size_t>(1, mClasses.size() * mWeights.size());
  const bool full =
    organisation.mEntries.size() >= AdmissionLimits::kMaxItems ||
    (!organisation.mEntries.empty() &&
     organisation.mBytes + aItem.Bytes() > maxBytes);
  if (full) {
    return AdmissionDecision::Reject(retryAfter,
                                     "the organisation's queue is full");
  }
  if (organisation.mEntries.empty()) {
    organisation.mVirtualTime =
      std::max(organisation.mVirtualTime, jobClass.mVirtualTime);
  }
  const ExpiryKey key(LatestStart(aNow, aItem.Deadline(), jobClass.mClass),
                      ++mOffers);
  // Most items expire in the order in which they came.
  const auto expiry = mExpiries.emplace_hint(
    mExpiries.end(), key, std::pair(&jobClass, &organisation));
  organisation.mEntries.push_back({ aItem, expiry });
  organisation.mBytes += aItem.Bytes();
  ++jobClass.mWaiting;
  ++mWaiting;
  return AdmissionDecision::Queue(
    std::chrono::milliseconds(std::llround(waitMs)));
}

std::optional<AdmissionGrant>
FairAdmission::Next(std::chrono::milliseconds aNow)
{
  if (mWaiting == 0 || mSlots - mRunning <= KeptForOthers(nullptr, aNow)) {
    return std::nullopt;
  }
  ClassState& jobClass = *NextClass();
  OrganisationState& organisation = NextOrganisation(jobClass);
  AdmissionItem item = std::move(organisation.mEntries.front().mItem);
  organisation.mBytes -= item.Bytes();
  RemoveFront(jobClass, organisation);
  return Admit(jobClass, organisation, std::move(item));
}

std::vector<AdmissionItem>
FairAdmission::Expire(std::chrono::milliseconds aNow)
{
  std::vector<AdmissionItem> expired;
  while (!mExpiries.empty() && mExpiries.begin()->first.first <= aNow) {
    const auto first = mExpiries.begin();
    const auto [jobClass, organisation] = first->second;
    auto& entries = organisation->mEntries;
    const auto it = std::find_if(
      entries.begin(), entries.end(), [first](const Entry& aEntry) {
        return aEntry.mExpiry == first;
      });
    organisation->mBytes -= it->mItem.Bytes();
    expired.push_back(std::move(it->mItem));
    entries.erase(it);
    mExpiries.erase(first);
    --jobClass->mWaiting;
    --mWaiting;
  }
  return expired;
}

std::optional<std::chrono::milliseconds>
FairAdmission::NextExpiry() const
{
  if (mExpiries.empty()) {
    return std::nullopt;
  }
  return mExpiries.begin()->first.first;
}

void
FairAdmission::ReleaseSlot(const AdmissionGrant& aGrant,
                           std::chrono::milliseconds aRunTime,
                           bool aCompleted)
{
  ClassState& jobClass = StateOf(aGrant.Item().Class());
  OrganisationState& organisation =
    StateOf(jobClass, aGrant.Item().Organisation());
  --mRunning;
  --jobClass.mRunning;
  --organisation.mRunning;
  // A run that cost nothing would keep its organisation in front forever.
  const auto cost = std::max(aRunTime, std::chrono::milliseconds(1));
  organisation.mVirtualTime +=
    static_cast<double>((cost - aGrant.Charge()).count()) /
    organisation.mWeight;
  if (aCompleted) {
    jobClass.mEstimate = jobClass.mEstimate.WithRun(aRunTime);
  }
}

void
FairAdmission::AddGrant(const AdmissionGrant& aGrant)
{
  ClassState& jobClass = StateOf(aGrant.Item().Class());
  OrganisationState& organisation =
    StateOf(jobClass, aGrant.Item().Organisation());
  // ReleaseSlot() replaces the charge by the cost.
  organisation.mVirtualTime +=
    static_cast<double>(aGrant.Charge().count()) / organisation.mWeight;
  ++mRunning;
  ++jobClass.mRunning;
  ++organisation.mRunning;
}

std::vector<AdmissionItem>
FairAdmission::RemoveWaiting()
{
  std::vector<AdmissionItem> items;
  for (auto& [name, jobClass] : mClasses) {
    for (auto& [id, organisation] : jobClass.mOrganisations) {
      for (Entry& entry : organisation.mEntries) {
        items.push_back(std::move(entry.mItem));
      }
      organisation.mEntries.clear();
      organisation.mBytes = 0;
    }
    jobClass.mWaiting = 0;
  }
  mExpiries.clear();
  mWaiting = 0;
  return items;
}

int
FairAdmission::Slots() const
{
  return mSlots;
}

int
FairAdmission::Running() const
{
  return mRunning;
}

std::size_t
FairAdmission::Waiting() const
{
  return mWaiting;
}

FairAdmission::ClassState&
FairAdmission::StateOf(const ClassName& aClass)
{
  const auto it = mClasses.find(aClass);
  if (it == mClasses.end()) {
    throw StateError("admission terms lack class " + aClass.Text());
  }
  return it->second;
}

FairAdmission::OrganisationState&
FairAdmission::StateOf(ClassState& aClass, const OrganisationId& aOrganisation)
{
  return aClass.mOrganisations.try_emplace(aOrganisation).first->second;
}

/** Slots that the class's weight guarantees it, rounded down. */
int
FairAdmission::MinimumShare(const ClassState& aClass) const
{
  if (!aClass.mCurrent) {
    return 0;
  }
  return mSlots * aClass.mClass.Weight() / std::max(1, mTotalWeight);
}

/** Slots of a class that cannot queue which no other class may take. */
int
FairAdmission::KeptFree(const ClassState& aClass,
                        std::chrono::milliseconds aNow) const
{
  if (aClass.Queues()) {
    return 0;
  }
  const int free = MinimumShare(aClass) - aClass.mRunning;
  if (free <= 0) {
    return 0;
  }
  // Peaks of organisations do not coincide, so the peak of the class is below
  // their sum; with the former, the busiest organisation would be refused in
  // favour of slots kept for the others.
  int peaks = 0;
  for (const auto& [id, organisation] : aClass.mOrganisations) {
    peaks += organisation.mPeak.Peak(aNow);
  }
  // One slot stays even for a silent class, so that its first request runs.
  const int demand = std::max({ 1, peaks, aClass.mPeak.Peak(aNow) });
  return std::clamp(demand - aClass.mRunning, 0, free);
}

/** @param aClass The class that asks; null if it can queue. */
int
FairAdmission::KeptForOthers(const ClassState* aClass,
                             std::chrono::milliseconds aNow) const
{
  int n = 0;
  for (const auto& [name, other] : mClasses) {
    n += &other != aClass ? KeptFree(other, aNow) : 0;
  }
  return n;
}

/** Slots that an organisation leaves free for others of the same class. */
int
FairAdmission::KeptForOthers(const ClassState& aClass,
                             const OrganisationState& aOrganisation,
                             std::chrono::milliseconds aNow) const
{
  int weights = 0;
  for (const auto& [id, other] : aClass.mOrganisations) {
    weights += other.mWeight;
  }
  const int share = std::max(1, MinimumShare(aClass));
  if (aOrganisation.mRunning < share * aOrganisation.mWeight / weights) {
    return 0;
  }
  int n = 0;
  bool anySilent = false;
  for (const auto& [id, other] : aClass.mOrganisations) {
    if (&other != &aOrganisation) {
      const int own = share * other.mWeight / weights;
      const int peak = other.mPeak.Peak(aNow);
      n += std::max(0, std::min(own, peak) - other.mRunning);
      anySilent = anySilent || (peak == 0 && other.mRunning == 0);
    }
  }
  // One slot lets the first request of a silent organisation run.
  return n + (anySilent && share >= kLeastShareForSilent ? 1 : 0);
}

bool
FairAdmission::MayStartNow(const ClassState& aClass,
                           const OrganisationState& aOrganisation,
                           std::chrono::milliseconds aNow) const
{
  const int free = mSlots - mRunning;
  if (aClass.Queues()) {
    return mWaiting == 0 && free > KeptForOthers(nullptr, aNow);
  }
  return free > KeptForOthers(&aClass, aNow) +
                  KeptForOthers(aClass, aOrganisation, aNow);
}

/**
 * Only the organisation's own queue and its share count, so that the estimate
 * of a small organisation does not depend on what the others ask for.
 */
double
FairAdmission::EstimateWaitMs(const ClassState& aClass,
                              const OrganisationState& aOrganisation) const
{
  const int slots = std::max({ 1, MinimumShare(aClass), aClass.mRunning });
  int weights = aOrganisation.mWeight;
  for (const auto& [id, other] : aClass.mOrganisations) {
    const bool competes = &other != &aOrganisation && !other.mEntries.empty();
    weights += competes ? other.mWeight : 0;
  }
  const double share =
    static_cast<double>(slots) * aOrganisation.mWeight / weights;
  return static_cast<double>(aOrganisation.mEntries.size() + 1) *
         aClass.mEstimate.MeanMs() / share;
}

FairAdmission::ClassState*
FairAdmission::NextClass()
{
  ClassState* best = nullptr;
  // Orders by: below the minimum share first, then the lowest part of the
  // share or the highest urgency, then the longest time without a start.
  using Rank = std::tuple<bool, double, std::uint64_t>;
  Rank bestRank;
  for (auto& [name, state] : mClasses) {
    if (state.mWaiting == 0) {
      continue;
    }
    const int share = std::max(1, MinimumShare(state));
    const bool satisfied = state.mRunning >= share;
    const double order = satisfied
                           ? -static_cast<double>(state.mClass.Urgency())
                           : static_cast<double>(state.mRunning) / share;
    const Rank rank(satisfied, order, state.mLastStart);
    if (best == nullptr || rank < bestRank) {
      best = &state;
      bestRank = rank;
    }
  }
  return best;
}

FairAdmission::OrganisationState&
FairAdmission::NextOrganisation(ClassState& aClass)
{
  OrganisationState* best = nullptr;
  for (auto& [id, state] : aClass.mOrganisations) {
    const bool better =
      best == nullptr || state.mVirtualTime < best->mVirtualTime;
    if (!state.mEntries.empty() && better) {
      best = &state;
    }
  }
  return *best;
}

AdmissionGrant
FairAdmission::Admit(ClassState& aClass,
                     OrganisationState& aOrganisation,
                     AdmissionItem aItem)
{
  const std::chrono::milliseconds charge = aClass.mEstimate.Mean();
  aOrganisation.mVirtualTime =
    std::max(aOrganisation.mVirtualTime, aClass.mVirtualTime);
  aClass.mVirtualTime = aOrganisation.mVirtualTime;
  aOrganisation.mVirtualTime +=
    static_cast<double>(charge.count()) / aOrganisation.mWeight;
  aClass.mLastStart = ++mStarts;
  ++mRunning;
  ++aClass.mRunning;
  ++aOrganisation.mRunning;
  return { std::move(aItem), charge };
}

void
FairAdmission::RemoveFront(ClassState& aClass, OrganisationState& aOrganisation)
{
  mExpiries.erase(aOrganisation.mEntries.front().mExpiry);
  aOrganisation.mEntries.pop_front();
  --aClass.mWaiting;
  --mWaiting;
}

} // namespace cornelrudder::state
