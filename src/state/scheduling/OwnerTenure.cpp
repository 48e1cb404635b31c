#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/** Allows for clocks of two daemons that differ by up to three percent. */
constexpr double kClockDrift = 1.03;

std::chrono::milliseconds
Scaled(std::chrono::milliseconds aTime, double aFactor)
{
  using Millis = std::chrono::milliseconds;
  return Millis(
    static_cast<Millis::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

std::chrono::milliseconds
OwnerTenure::StartTime(std::chrono::milliseconds aSilence)
{
  return std::min(Scaled(aSilence, 1 / kClockDrift), kCommandTime);
}

OwnerTenure
OwnerTenure::WithSentWrite(const LeaseWrite& aWrite) const
{
  OwnerTenure tenure = *this;
  tenure.mStartsUntil =
    std::min(mStartsUntil, aWrite.mSentAt + StartTime(aWrite.mSilence));
  return tenure;
}

OwnerTenure
OwnerTenure::WithStoredWrite(const LeaseWrite& aWrite) const
{
  if (mIsConfirmed && aWrite.mSentAt < mConfirmedAt) {
    return *this;
  }
  OwnerTenure tenure;
  tenure.mIsConfirmed = true;
  tenure.mConfirmedAt = aWrite.mSentAt;
  tenure.mStartsUntil = aWrite.mSentAt + StartTime(aWrite.mSilence);
  return tenure;
}

LeaseSighting
LeaseSighting::WithRead(std::uint64_t aVersion,
                        std::chrono::milliseconds aNow) const
{
  if (aVersion == mVersion) {
    return *this;
  }
  LeaseSighting sighting;
  sighting.mVersion = aVersion;
  sighting.mSeenAt = aNow;
  return sighting;
}

std::chrono::milliseconds
LeaseSighting::LastCommandAt() const
{
  return mSeenAt + Scaled(OwnerTenure::kCommandTime, kClockDrift);
}

std::chrono::milliseconds
LeaseSighting::LastStartAt(std::chrono::milliseconds aSilence) const
{
  return mSeenAt + Scaled(OwnerTenure::StartTime(aSilence), kClockDrift);
}

} // namespace cornelrudder::state::scheduling
