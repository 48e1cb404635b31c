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

/** The owner of a placement domain; published by the lease task. */
struct DomainOwner
{
  const state::RegionId mDomain;
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** This daemon's own lease; epoch 0 if it does not own the domain. */
  const state::Lease mLease;

  auto operator<=>(const DomainOwner&) const = default;
};

/** Makes the lease task release its lease permanently (planned shutdown). */
struct ReleaseLease
{
  auto operator<=>(const ReleaseLease&) const = default;
};

/** Makes the lease task check whether its own lease has expired. */
struct CheckLeaseExpiry
{
  auto operator<=>(const CheckLeaseExpiry&) const = default;
};

/** Requests the state of the lease; the response is a LeaseStatus. */
struct GetLeaseStatus
{
  auto operator<=>(const GetLeaseStatus&) const = default;
};

/** The lease as last observed by this daemon. */
struct LeaseStatus
{
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** Epoch in the lease row; 0 if the row is absent or not read yet. */
  const std::uint64_t mEpoch;
  /** Whether this daemon owns the lease. */
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
