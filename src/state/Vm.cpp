#include "cornelrudder/state/Vm.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <iterator>

namespace cornelrudder::state {

Vm::Vm(VmId aId,
       VmRole aRole,
       std::string aAddress,
       VmLocation aLocation,
       int aAccelerators,
       VmState aState)
  : mId(std::move(aId))
  , mRole(aRole)
  , mAddress(std::move(aAddress))
  , mLocation(std::move(aLocation))
  , mAccelerators(aAccelerators)
  , mState(aState)
{
  if (mAccelerators < 0) {
    throw StateError("VM " + mId.Text() +
                     " has a negative number of accelerators");
  }
}

VmList::VmList(std::vector<Vm> aVms)
  : mVms(std::move(aVms))
{
  std::sort(mVms.begin(), mVms.end());
}

VmList
VmList::WithRole(VmRole aRole) const
{
  std::vector<Vm> vms;
  std::copy_if(mVms.begin(),
               mVms.end(),
               std::back_inserter(vms),
               [aRole](const Vm& aVm) { return aVm.Role() == aRole; });
  return VmList(std::move(vms));
}

} // namespace cornelrudder::state
