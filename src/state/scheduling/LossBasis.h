#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_LOSS_BASIS_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_LOSS_BASIS_H

#include <chrono>
#include <compare>
#include <cstddef>
#include <optional>

namespace cornelrudder::state::scheduling {

/** Why an owner takes a run for ended without a report of its worker. */
enum class LossBasis
{
  /** The end of the lease in this owner's own last command. */
  kOwnCommand,
  /** The end of the lease that a former owner told when it released. */
  kRelease,
  /** The latest end of a lease that a former owner may have extended. */
  kPresumption,
  /** The entry of the worker in the list of workers, or its removal. */
  kEntry,
  /** The reply of another worker at the address. */
  kOtherWorkerReply,
  /** The worker's reply to a renewal, which does not name the run. */
  kRenewReply,
  /** The reply to the start command. */
  kStartReply
};

constexpr std::size_t kLossBases = 7;

/** @return Name of a basis, for logs and metrics. */
const char*
LossBasisName(LossBasis aBasis);

/** What an owner relies on when it ends runs, and since when it knows it. */
struct LossSource
{
  LossBasis mBasis;
  std::chrono::milliseconds mKnownAt;

  auto operator<=>(const LossSource&) const = default;
};

/** What the end of a worker's lease rests on, for logs. */
struct LeaseSource
{
  LossSource mSource{ LossBasis::kPresumption, std::chrono::milliseconds(0) };
  /** When this owner last extended the lease. */
  std::optional<std::chrono::milliseconds> mExtendedAt{};
  /** End of the lease in that command, on the worker's clock. */
  std::chrono::milliseconds mUntil{ 0 };

  /**
   * @param aUntil End of the lease on the worker's clock.
   * @param aIsLatest Whether this end is not before the one known so far.
   * @return The source after this owner has extended the lease.
   */
  LeaseSource WithExtension(std::chrono::milliseconds aNow,
                            std::chrono::milliseconds aUntil,
                            bool aIsLatest) const
  {
    return { aIsLatest ? LossSource{ LossBasis::kOwnCommand, aNow } : mSource,
             aNow,
             aUntil };
  }

  auto operator<=>(const LeaseSource&) const = default;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_LOSS_BASIS_H
