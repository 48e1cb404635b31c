#ifndef CORNELRUDDER_STATE_ADMISSION_ITEM_H
#define CORNELRUDDER_STATE_ADMISSION_ITEM_H

#include "cornelrudder/state/Ids.h"

#include <chrono>

namespace cornelrudder::state {

/** A request as admission sees it. */
class AdmissionItem
{
public:
  /**
   * @param aBytes Memory that the request holds while it waits.
   * @param aDeadline When the caller gives up, on the daemon's clock.
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

/** The right of a request to one slot, until it is given back. */
class AdmissionGrant
{
public:
  /** @param aCharge Run time that the organisation was charged in advance. */
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
