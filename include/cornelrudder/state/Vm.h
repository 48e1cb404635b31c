#ifndef CORNELRUDDER_STATE_VM_H
#define CORNELRUDDER_STATE_VM_H

#include "cornelrudder/state/Ids.h"

#include <string>
#include <vector>

namespace cornelrudder::state {

enum class VmRole
{
  kEntry,
  kRunner,
  kWorker
};

enum class VmState
{
  kLive,
  kLeaving
};

/** Location of a VM. VMs in the same rack share its switch. */
class VmLocation
{
public:
  VmLocation(RegionId aRegion, ZoneId aZone, RackId aRack)
    : mRegion(std::move(aRegion))
    , mZone(std::move(aZone))
    , mRack(std::move(aRack))
  {
  }

  const RegionId& Region() const { return mRegion; }
  const ZoneId& Zone() const { return mZone; }
  const RackId& Rack() const { return mRack; }

  auto operator<=>(const VmLocation&) const = default;

private:
  RegionId mRegion;
  ZoneId mZone;
  RackId mRack;
};

/** A VM as the platform lists it. */
class Vm
{
public:
  /**
   * @param aAddress IP address and port, "a.b.c.d:port".
   * @param aAccelerators Number of accelerators; 0 for runners and entry VMs.
   * @throws StateError if the number of accelerators is negative.
   */
  Vm(VmId aId,
     VmRole aRole,
     std::string aAddress,
     VmLocation aLocation,
     int aAccelerators,
     VmState aState);

  const VmId& Name() const { return mId; }
  VmRole Role() const { return mRole; }
  const std::string& Address() const { return mAddress; }
  const VmLocation& Location() const { return mLocation; }
  int Accelerators() const { return mAccelerators; }
  VmState State() const { return mState; }

  auto operator<=>(const Vm&) const = default;

private:
  VmId mId;
  VmRole mRole;
  std::string mAddress;
  VmLocation mLocation;
  int mAccelerators;
  VmState mState;
};

/** A list of VMs, sorted by identifier. */
class VmList
{
public:
  VmList() = default;

  explicit VmList(std::vector<Vm> aVms);

  const std::vector<Vm>& All() const { return mVms; }

  /** @return The VMs with this role. */
  VmList WithRole(VmRole aRole) const;

  auto operator<=>(const VmList&) const = default;

private:
  std::vector<Vm> mVms;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_VM_H
