#ifndef CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H
#define CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace cornelrudder::state::scheduling {

/** A write of the lease row by the owner. */
struct LeaseWrite
{
  std::chrono::milliseconds mSentAt{ 0 };
  /**
   * Shortest time without a change of the written row after which a successor
   * acquires the lease, by the clock of the store.
   */
  std::chrono::milliseconds mSilence{ 0 };

  auto operator<=>(const LeaseWrite&) const = default;
};

/**
 * Time for which an owner may command workers without hearing from the store.
 * Its successor computes from the same constants until when the former owner
 * may do so, see LeaseSighting.
 *
 * The write of a successor makes all further writes of the former owner fail,
 * so the last stored write of the former owner was sent before the successor
 * read the version of the row that its own write replaced. Times are those of
 * one daemon's monotonic clock.
 *
 * Runs are started for a shorter time than other commands are sent: until a
 * successor can acquire the lease. A worker that restarts forgets the epoch of
 * the successor, and would accept a start of the former owner again. Stops and
 * extensions of leases create no runs, so that those that exist can outlive an
 * outage of the store.
 */
class OwnerTenure
{
public:
  /**
   * Time from the sending of the last stored write in which an owner stops runs
   * and extends leases.
   */
  static constexpr std::chrono::milliseconds kCommandTime{ 3'700 };

  /**
   * @param aSilence LeaseWrite::mSilence.
   * @return Time from the sending of a stored write in which an owner starts
   *   runs; it ends before the silence does by the clock of the store.
   */
  static std::chrono::milliseconds StartTime(
    std::chrono::milliseconds aSilence);

  /** A tenure in which no command is allowed yet. */
  OwnerTenure() = default;

  /** @return The tenure while a write is in flight, which may be stored. */
  OwnerTenure WithSentWrite(const LeaseWrite& aWrite) const;

  /** @return The tenure after a write is known to be stored. */
  OwnerTenure WithStoredWrite(const LeaseWrite& aWrite) const;

  /** @return Whether commands to workers may be sent now. */
  bool MayCommand(std::chrono::milliseconds aNow) const
  {
    return mIsConfirmed && aNow - mConfirmedAt < kCommandTime;
  }

  /** @return Time from which no run is started. */
  std::chrono::milliseconds StartsUntil() const { return mStartsUntil; }

  /** @return When the last write that is known to be stored was sent. */
  std::chrono::milliseconds ConfirmedAt() const { return mConfirmedAt; }

  auto operator<=>(const OwnerTenure&) const = default;

private:
  bool mIsConfirmed = false;
  std::chrono::milliseconds mConfirmedAt{ 0 };
  std::chrono::milliseconds mStartsUntil{ 0 };
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

  /**
   * @param aSilence LeaseWrite::mSilence of the version.
   * @return Time from which these owners start no runs any more.
   */
  std::chrono::milliseconds LastStartAt(
    std::chrono::milliseconds aSilence) const;

  std::chrono::milliseconds SeenAt() const { return mSeenAt; }

  auto operator<=>(const LeaseSighting&) const = default;

private:
  std::uint64_t mVersion = 0;
  std::chrono::milliseconds mSeenAt{ 0 };
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_OWNER_TENURE_H
