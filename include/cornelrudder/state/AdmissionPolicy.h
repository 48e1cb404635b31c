#ifndef CORNELRUDDER_STATE_ADMISSION_POLICY_H
#define CORNELRUDDER_STATE_ADMISSION_POLICY_H

#include "cornelrudder/state/AdmissionItem.h"
#include "cornelrudder/state/AdmissionSettings.h"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state {

enum class AdmissionAction
{
  kAdmit,
  kQueue,
  kReject
};

/** What becomes of an offered request. */
class AdmissionDecision
{
public:
  static AdmissionDecision Admit(AdmissionGrant aGrant);
  static AdmissionDecision Queue(std::chrono::milliseconds aEstimatedWait);

  /**
   * @param aRetryAfter When a repeat makes sense.
   * @param aReason For the log and for people.
   */
  static AdmissionDecision Reject(std::chrono::milliseconds aRetryAfter,
                                  std::string aReason);

  AdmissionAction Kind() const { return mKind; }

  /** Set for kAdmit. */
  const std::optional<AdmissionGrant>& Grant() const { return mGrant; }

  /** Estimated wait for kQueue, time until a repeat for kReject. */
  std::chrono::milliseconds Wait() const { return mWait; }

  /** Set for kReject. */
  const std::string& Reason() const { return mReason; }

  auto operator<=>(const AdmissionDecision&) const = default;

private:
  AdmissionDecision(AdmissionAction aKind,
                    std::optional<AdmissionGrant> aGrant,
                    std::chrono::milliseconds aWait,
                    std::string aReason);

  AdmissionAction mKind;
  std::optional<AdmissionGrant> mGrant;
  std::chrono::milliseconds mWait;
  std::string mReason;
};

/**
 * Requests that wait and the slots that are taken. The task owns it as a
 * private container that changes in place, because a copy of thousands of
 * waiting items for each decision would cost more than the decision; the items
 * themselves are immutable values. Times are passed in and never go back.
 */
class AdmissionQueue
{
public:
  virtual ~AdmissionQueue() = default;

  /** Applies changed settings; waiting items stay. */
  virtual void Apply(const AdmissionSettings& aSettings) = 0;

  /**
   * Sets the number of slots, free and taken. It may be lower than the number
   * taken.
   */
  virtual void SetSlots(int aSlots) = 0;

  /**
   * Takes a slot for a request, queues it or refuses it.
   * @throws StateError if the terms do not know its class.
   */
  virtual AdmissionDecision Offer(const AdmissionItem& aItem,
                                  std::chrono::milliseconds aNow) = 0;

  /**
   * Takes a free slot for the waiting item whose turn it is. Call it until it
   * returns nothing whenever a slot may have become free.
   */
  virtual std::optional<AdmissionGrant> Next(
    std::chrono::milliseconds aNow) = 0;

  /** Removes the items whose longest wait or deadline has passed. */
  virtual std::vector<AdmissionItem> Expire(std::chrono::milliseconds aNow) = 0;

  /** @return When the next item expires, or nothing if none waits. */
  virtual std::optional<std::chrono::milliseconds> NextExpiry() const = 0;

  /**
   * Gives a slot back.
   * @param aRunTime How long the slot was held.
   * @param aCompleted Whether it was a whole run; only these teach the
   *   estimates, since failures may be arbitrarily fast.
   */
  virtual void ReleaseSlot(const AdmissionGrant& aGrant,
                           std::chrono::milliseconds aRunTime,
                           bool aCompleted) = 0;

  /**
   * Counts a slot that another queue granted, so that a change of policy can
   * take place while requests run.
   * @throws StateError if the terms do not know its class.
   */
  virtual void AddGrant(const AdmissionGrant& aGrant) = 0;

  /** Removes all waiting items, in an order in which they can be offered. */
  virtual std::vector<AdmissionItem> RemoveWaiting() = 0;

  virtual int Slots() const = 0;
  virtual int Running() const = 0;
  virtual std::size_t Waiting() const = 0;
};

/** Strategy of admission. */
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  virtual std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionSettings& aSettings) const = 0;
};

/** @return All strategies; the first is the naive baseline. */
std::span<const AdmissionPolicy* const>
AllAdmissionPolicies();

/** @return The strategy of this name, or null. */
const AdmissionPolicy*
FindAdmissionPolicy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_POLICY_H
