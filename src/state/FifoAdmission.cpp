#include "FifoAdmission.h"

#include "cornelrudder/state/StateError.h"

namespace cornelrudder::state {

FifoAdmission::FifoAdmission(AdmissionSettings aSettings)
  : mSettings(std::move(aSettings))
{
}

void
FifoAdmission::Apply(const AdmissionSettings& aSettings)
{
  mSettings = aSettings;
}

void
FifoAdmission::SetSlots(int aSlots)
{
  mSlots = aSlots;
}

AdmissionDecision
FifoAdmission::Offer(const AdmissionItem& aItem, std::chrono::milliseconds aNow)
{
  const auto it = mSettings.AllClasses().find(aItem.Class());
  if (it == mSettings.AllClasses().end()) {
    throw StateError("admission settings have no class " +
                     aItem.Class().Text());
  }
  const JobClass& jobClass = it->second;
  if (mRunning < mSlots && mEntries.empty()) {
    ++mRunning;
    return AdmissionDecision::Admit({ aItem, mEstimate.Mean() });
  }
  const double waitMs = static_cast<double>(mEntries.size() + 1) *
                        mEstimate.MeanMs() / std::max(1, mSlots);
  if (waitMs > static_cast<double>(jobClass.MaxWait().count())) {
    return AdmissionDecision::Reject(RetryAfter(waitMs, jobClass),
                                     "the estimated wait is too long");
  }
  if (mEntries.size() >= AdmissionLimits::kMaxItems ||
      mBytes + aItem.Bytes() > AdmissionLimits::kMaxBytes) {
    return AdmissionDecision::Reject(RetryAfter(waitMs, jobClass),
                                     "the queue is full");
  }
  mEntries.push_back({ aItem, LatestStart(aNow, aItem.Deadline(), jobClass) });
  mBytes += aItem.Bytes();
  return AdmissionDecision::Queue(
    std::chrono::milliseconds(std::llround(waitMs)));
}

std::optional<AdmissionGrant>
FifoAdmission::Next(std::chrono::milliseconds /*aNow*/)
{
  if (mRunning >= mSlots || mEntries.empty()) {
    return std::nullopt;
  }
  AdmissionGrant grant(std::move(mEntries.front().mItem), mEstimate.Mean());
  mEntries.pop_front();
  mBytes -= grant.Item().Bytes();
  ++mRunning;
  return grant;
}

std::vector<AdmissionItem>
FifoAdmission::Expire(std::chrono::milliseconds aNow)
{
  std::vector<AdmissionItem> expired;
  std::erase_if(mEntries, [&expired, aNow](const Entry& aEntry) {
    if (aEntry.mLatestStart > aNow) {
      return false;
    }
    expired.push_back(aEntry.mItem);
    return true;
  });
  for (const AdmissionItem& item : expired) {
    mBytes -= item.Bytes();
  }
  return expired;
}

std::optional<std::chrono::milliseconds>
FifoAdmission::NextExpiry() const
{
  std::optional<std::chrono::milliseconds> next;
  for (const Entry& entry : mEntries) {
    next = next ? std::min(*next, entry.mLatestStart) : entry.mLatestStart;
  }
  return next;
}

void
FifoAdmission::ReleaseSlot(const AdmissionGrant& /*aGrant*/,
                           std::chrono::milliseconds aRunTime,
                           bool aCompleted)
{
  --mRunning;
  if (aCompleted) {
    mEstimate = mEstimate.WithRun(aRunTime);
  }
}

void
FifoAdmission::AddGrant(const AdmissionGrant& /*aGrant*/)
{
  ++mRunning;
}

std::vector<AdmissionItem>
FifoAdmission::RemoveWaiting()
{
  std::vector<AdmissionItem> items;
  for (Entry& entry : mEntries) {
    items.push_back(std::move(entry.mItem));
  }
  mEntries.clear();
  mBytes = 0;
  return items;
}

int
FifoAdmission::Slots() const
{
  return mSlots;
}

int
FifoAdmission::Running() const
{
  return mRunning;
}

std::size_t
FifoAdmission::Waiting() const
{
  return mEntries.size();
}

} // namespace cornelrudder::state
