#ifndef CORNELRUDDER_COORDINATION_LEASE_MESSAGES_H
#define CORNELRUDDER_COORDINATION_LEASE_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/Lease.h"

#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <vector>

/**
 * @file
 * Messages of the lease task.
 */

namespace cornelrudder::coordination {

/** Which daemon owns a placement domain; sent by the lease task. */
struct DomainOwner
{
  const state::RegionId mDomain;
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** This daemon's own hold; epoch 0 if another one or nobody owns it. */
  const state::Lease mLease;

  auto operator<=>(const DomainOwner&) const = default;
};

/** Tells the lease task to give up its lease for good (planned stop). */
struct ReleaseLease
{
  auto operator<=>(const ReleaseLease&) const = default;
};

/** Tells the lease task to check whether its hold has ended. */
struct CheckLeaseExpiry
{
  auto operator<=>(const CheckLeaseExpiry&) const = default;
};

/** Asks the lease task for its view; the answer is a LeaseStatus. */
struct GetLeaseStatus
{
  auto operator<=>(const GetLeaseStatus&) const = default;
};

/** The lease as this daemon sees it. */
struct LeaseStatus
{
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** Epoch in the row; 0 if it is absent or was not read yet. */
  const std::uint64_t mEpoch;
  /** Whether this daemon holds it. */
  const bool mIsOwner;

  auto operator<=>(const LeaseStatus&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::DomainOwner)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReleaseLease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::CheckLeaseExpiry)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetLeaseStatus)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::LeaseStatus)

#endif // CORNELRUDDER_COORDINATION_LEASE_MESSAGES_H
