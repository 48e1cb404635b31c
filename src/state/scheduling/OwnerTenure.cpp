#include "cornelrudder/state/scheduling/OwnerTenure.h"

#include <algorithm>

namespace cornelrudder::state::scheduling {

namespace {

/** Allows for clocks of two daemons that differ by up to three percent. */
constexpr double kClockDrift = 1.03;

} // namespace

OwnerTenure
OwnerTenure::WithStoredWrite(std::chrono::milliseconds aSentAt) const
{
  OwnerTenure tenure = *this;
  tenure.mConfirmedAt =
    mIsConfirmed ? std::max(mConfirmedAt, aSentAt) : aSentAt;
  tenure.mIsConfirmed = true;
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
  using Millis = std::chrono::milliseconds;
  return mSeenAt + Millis(static_cast<Millis::rep>(
                     static_cast<double>(OwnerTenure::kCommandTime.count()) *
                     kClockDrift));
}

} // namespace cornelrudder::state::scheduling
