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

/** Result of offering a request to an admission queue. */
class AdmissionDecision
{
public:
  static AdmissionDecision Admit(AdmissionGrant aGrant);
  static AdmissionDecision Queue(std::chrono::milliseconds aEstimatedWait);

  /**
   * @param aRetryAfter Delay after which the caller may retry.
   * @param aReason Explanation for the log and for the caller.
   */
  static AdmissionDecision Reject(std::chrono::milliseconds aRetryAfter,
                                  std::string aReason);

  AdmissionAction Kind() const { return mKind; }

  /** Set for kAdmit. */
  const std::optional<AdmissionGrant>& Grant() const { return mGrant; }

  /** Estimated wait for kQueue, delay before a retry for kReject. */
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
 * Waiting requests and slots in use. The owning task changes the queue in
 * place, because copying thousands of waiting items for each decision would
 * cost more than the decision; the items themselves are immutable values.
 * Callers pass the current time, which must never decrease.
 */
class AdmissionQueue
{
public:
  virtual ~AdmissionQueue() = default;

  /** Applies changed settings; waiting items stay queued. */
  virtual void Apply(const AdmissionSettings& aSettings) = 0;

  /**
   * Sets the total number of slots. It may be lower than the number of slots in
   * use.
   */
  virtual void SetSlots(int aSlots) = 0;

  /**
   * Admits a request to a slot, queues it or rejects it.
   * @throws StateError if the queue has no settings of the request's class.
   */
  virtual AdmissionDecision Offer(const AdmissionItem& aItem,
                                  std::chrono::milliseconds aNow) = 0;

  /**
   * Grants a free slot to the next waiting item. Whenever a slot may have
   * become free, the caller repeats the call until it returns nothing.
   */
  virtual std::optional<AdmissionGrant> Next(
    std::chrono::milliseconds aNow) = 0;

  /** Removes the items whose longest wait or deadline is over. */
  virtual std::vector<AdmissionItem> Expire(std::chrono::milliseconds aNow) = 0;

  /** @return Time at which the next item expires, or nothing if none waits. */
  virtual std::optional<std::chrono::milliseconds> NextExpiry() const = 0;

  /**
   * Releases a slot.
   * @param aRunTime How long the slot was in use.
   * @param aCompleted Whether the request ran to completion. Only completed
   *   runs update the estimates, since failures may be arbitrarily fast.
   */
  virtual void ReleaseSlot(const AdmissionGrant& aGrant,
                           std::chrono::milliseconds aRunTime,
                           bool aCompleted) = 0;

  /**
   * Adds a slot that another queue granted, so that the policy can change while
   * requests run.
   * @throws StateError if the policy accounts for slots by class and has no
   *   settings of the request's class.
   */
  virtual void AddGrant(const AdmissionGrant& aGrant) = 0;

  /**
   * Removes all waiting items.
   * @return The items; those of the same class and organisation are in order of
   *   arrival, so that they can be offered to another queue.
   */
  virtual std::vector<AdmissionItem> RemoveWaiting() = 0;

  virtual int Slots() const = 0;
  virtual int Running() const = 0;
  virtual std::size_t Waiting() const = 0;
};

/** Strategy that decides which requests are admitted, and in which order. */
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  virtual std::string_view Name() const = 0;
  virtual std::string_view Description() const = 0;

  virtual std::unique_ptr<AdmissionQueue> MakeQueue(
    const AdmissionSettings& aSettings) const = 0;
};

/** @return All strategies; the first is the baseline for comparison. */
std::span<const AdmissionPolicy* const>
AllAdmissionPolicies();

/** @return The strategy of this name, or null. */
const AdmissionPolicy*
FindAdmissionPolicy(std::string_view aName);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ADMISSION_POLICY_H
