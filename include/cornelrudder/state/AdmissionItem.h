#ifndef CORNELRUDDER_STATE_ADMISSION_ITEM_H
#define CORNELRUDDER_STATE_ADMISSION_ITEM_H

#include "cornelrudder/state/Ids.h"

#include <chrono>

namespace cornelrudder::state {

/** The properties of a request that decide its admission. */
class AdmissionItem
{
public:
  /**
   * @param aBytes Memory that the request uses while it waits.
   * @param aDeadline Time at which the caller's timeout expires, on the
   *   daemon's clock.
   */
  AdmissionItem(RequestId aRequest,
                OrganisationId aOrganisation,
                ClassName aClass,
                std::size_t aBytes,
                std::chrono::milliseconds aDeadline)
    : mRequest(std::move(aRequest))
    , mOrganisation(std::move(aOrganisation))
    , mClass(std::move(aClass))
    , mBytes(aBytes)
    , mDeadline(aDeadline)
  {
  }

  const RequestId& Request() const { return mRequest; }
  const OrganisationId& Organisation() const { return mOrganisation; }
  const ClassName& Class() const { return mClass; }
  std::size_t Bytes() const { return mBytes; }
  std::chrono::milliseconds Deadline() const { return mDeadline; }

  auto operator<=>(const AdmissionItem&) const = default;

private:
  RequestId mRequest;
  OrganisationId mOrganisation;
  ClassName mClass;
  std::size_t mBytes;
  std::chrono::milliseconds mDeadline;
};

/** One slot granted to a request, until the slot is released. */
class AdmissionGrant
{
public:
  /** @param aCharge Run time charged to the organisation in advance. */
  AdmissionGrant(AdmissionItem aItem, std::chrono::milliseconds aCharge)
    : mItem(std::move(aItem))
    , mCharge(aCharge)
  {
  }

  const AdmissionItem& Item() const { return mItem; }
  std::chrono::milliseconds Charge() const { return mCharge; }

  auto operator<=>(const AdmissionGrant&) const = default;

private:
  AdmissionItem mItem;
  std::chrono::milliseconds mCharge;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_ITEM_H
