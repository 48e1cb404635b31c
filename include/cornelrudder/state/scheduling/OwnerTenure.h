#ifndef CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H
#define CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace cornelrudder::state::scheduling {

/**
 * Time for which an owner may command workers without hearing from the store.
 * Its successor computes from the same constant until when the former owner may
 * do so, see LeaseSighting.
 *
 * The write of a successor makes all further writes of the former owner fail,
 * so the last stored write of the former owner was sent before the successor
 * read the version of the row that its own write replaced. Times are those of
 * one daemon's monotonic clock.
 */
class OwnerTenure
{
public:
  /**
   * Time from the sending of the last stored write in which an owner starts and
   * stops runs and extends leases.
   */
  static constexpr std::chrono::milliseconds kCommandTime{ 3'700 };

  /** A tenure in which no command is allowed yet. */
  OwnerTenure() = default;

  /** @return The tenure after a write sent at a time is known to be stored. */
  OwnerTenure WithStoredWrite(std::chrono::milliseconds aSentAt) const;

  /** @return Whether commands to workers may be sent now. */
  bool MayCommand(std::chrono::milliseconds aNow) const
  {
    return mIsConfirmed && aNow - mConfirmedAt < kCommandTime;
  }

  /** @return When the last write that is known to be stored was sent. */
  std::chrono::milliseconds ConfirmedAt() const { return mConfirmedAt; }

  auto operator<=>(const OwnerTenure&) const = default;

private:
  bool mIsConfirmed = false;
  std::chrono::milliseconds mConfirmedAt{ 0 };
};

/** The first read of the present version of the lease row by a follower. */
class LeaseSighting
{
public:
  /**
   * @param aVersion Version of the row in a reply of the store.
   * @param aNow When the reply was received.
   * @return The sighting after the reply; the first one of a version stays.
   */
  LeaseSighting WithRead(std::uint64_t aVersion,
                         std::chrono::milliseconds aNow) const;

  /**
   * @return Time from which the owner that wrote the version, and all owners
   *   before it, send no commands any more if a successor replaces the version.
   */
  std::chrono::milliseconds LastCommandAt() const;

  std::chrono::milliseconds SeenAt() const { return mSeenAt; }

  auto operator<=>(const LeaseSighting&) const = default;

private:
  std::uint64_t mVersion = 0;
  std::chrono::milliseconds mSeenAt{ 0 };
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H
