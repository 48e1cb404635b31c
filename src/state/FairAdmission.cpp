#include "FairAdmission.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

namespace {

/**
 * Smallest share of a class in which one slot is reserved for organisations
 * without demand. The slot would be more than an eighth of a smaller share.
 */
constexpr int kMinShareForIdleSlot = 8;

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
    state.mConfigured = false;
  }
  mTotalWeight = 0;
  for (const auto& [name, jobClass] : aSettings.AllClasses()) {
    ClassState& state = mClasses.try_emplace(name, jobClass).first->second;
    state.mClass = jobClass;
    state.mConfigured = true;
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
  if (!jobClass.CanQueue()) {
    // Rejected requests count as demand. Otherwise the number of reserved slots
    // would never exceed the number of running requests.
    jobClass.mPeak = jobClass.mPeak.WithSample(aNow, jobClass.mRunning + 1);
    organisation.mPeak =
      organisation.mPeak.WithSample(aNow, organisation.mRunning + 1);
  }
  if (MayStartNow(jobClass, organisation, aNow)) {
    return AdmissionDecision::Admit(Admit(jobClass, organisation, aItem));
  }
  const double waitMs = EstimateWaitMs(jobClass, organisation);
  const auto retryAfter = RetryAfter(waitMs, jobClass.mClass);
  if (!jobClass.CanQueue()) {
    return AdmissionDecision::Reject(retryAfter, "no slot is free");
  }
  if (waitMs > static_cast<double>(jobClass.mClass.MaxWait().count())) {
    return AdmissionDecision::Reject(retryAfter,
                                     "the estimated wait is too long");
  }
  const std::size_t maxBytes =
    AdmissionLimits::kMaxBytes /
    std::max<std::size_t>(1, mClasses.size() * mWeights.size());
  // An empty queue accepts one item of any size.
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
  // Most items expire in the order of their arrival.
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
  if (mWaiting == 0 || mSlots - mRunning <= ReservedForOthers(nullptr, aNow)) {
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
  // Each run costs at least 1 ms. With a cost of 0, an organisation whose runs
  // take no time would always be served first.
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
  // ReleaseSlot() replaces the charge by the actual cost.
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
    throw StateError("admission settings have no class " + aClass.Text());
  }
  return it->second;
}

FairAdmission::OrganisationState&
FairAdmission::StateOf(ClassState& aClass, const OrganisationId& aOrganisation)
{
  return aClass.mOrganisations.try_emplace(aOrganisation).first->second;
}

/** @return Slots guaranteed to a class by its weight, rounded down. */
int
FairAdmission::MinimumShare(const ClassState& aClass) const
{
  if (!aClass.mConfigured) {
    return 0;
  }
  return mSlots * aClass.mClass.Weight() / std::max(1, mTotalWeight);
}

/**
 * @return Free slots that only this class may use; 0 for a class that can
 *   queue.
 */
int
FairAdmission::ReservedSlots(const ClassState& aClass,
                             std::chrono::milliseconds aNow) const
{
  if (aClass.CanQueue()) {
    return 0;
  }
  const int free = MinimumShare(aClass) - aClass.mRunning;
  if (free <= 0) {
    return 0;
  }
  // The organisations peak at different times, so the peak of the class is
  // below the sum of their peaks. Reserving only the class peak would reject
  // requests of the busiest organisation, because the slots reserved for the
  // other organisations come out of the same number.
  int peaks = 0;
  for (const auto& [id, organisation] : aClass.mOrganisations) {
    peaks += organisation.mPeak.Peak(aNow);
  }
  // One slot stays reserved for a class without demand, so that its first
  // request runs.
  const int demand = std::max({ 1, peaks, aClass.mPeak.Peak(aNow) });
  return std::clamp(demand - aClass.mRunning, 0, free);
}

/**
 * @param aClass Class of the request; null if the class can queue.
 * @return Free slots that are reserved for other classes.
 */
int
FairAdmission::ReservedForOthers(const ClassState* aClass,
                                 std::chrono::milliseconds aNow) const
{
  int n = 0;
  for (const auto& [name, other] : mClasses) {
    n += &other != aClass ? ReservedSlots(other, aNow) : 0;
  }
  return n;
}

/**
 * @return Free slots that an organisation must leave to other organisations of
 *   the same class; 0 while it uses less than its own share.
 */
int
FairAdmission::ReservedForOthers(const ClassState& aClass,
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
  bool anyIdle = false;
  for (const auto& [id, other] : aClass.mOrganisations) {
    if (&other != &aOrganisation) {
      const int own = share * other.mWeight / weights;
      const int peak = other.mPeak.Peak(aNow);
      n += std::max(0, std::min(own, peak) - other.mRunning);
      anyIdle = anyIdle || (peak == 0 && other.mRunning == 0);
    }
  }
  // One slot lets the first request of an organisation without demand run.
  return n + (anyIdle && share >= kMinShareForIdleSlot ? 1 : 0);
}

bool
FairAdmission::MayStartNow(const ClassState& aClass,
                           const OrganisationState& aOrganisation,
                           std::chrono::milliseconds aNow) const
{
  const int free = mSlots - mRunning;
  if (aClass.CanQueue()) {
    return mWaiting == 0 && free > ReservedForOthers(nullptr, aNow);
  }
  return free > ReservedForOthers(&aClass, aNow) +
                  ReservedForOthers(aClass, aOrganisation, aNow);
}

/**
 * Estimates the wait from the organisation's own queue and share only, so that
 * the estimate of a small organisation does not grow with the queues of others.
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
  // Classes below their minimum share come first, the one with the lowest used
  // fraction of it first. The others follow by urgency, highest first. Ties go
  // to the class whose last start is the oldest.
  using Rank = std::tuple<bool, double, std::uint64_t>;
  Rank bestRank;
  for (auto& [name, state] : mClasses) {
    if (state.mWaiting == 0) {
      continue;
    }
    const int share = std::max(1, MinimumShare(state));
    const bool satisfied = state.mRunning >= share;
    const double priority = satisfied
                              ? -static_cast<double>(state.mClass.Urgency())
                              : static_cast<double>(state.mRunning) / share;
    const Rank rank(satisfied, priority, state.mLastStart);
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
