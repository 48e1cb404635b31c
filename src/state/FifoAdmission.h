#ifndef CORNELRUDDER_STATE_FIFO_ADMISSION_H
#define CORNELRUDDER_STATE_FIFO_ADMISSION_H

#include "AdmissionEstimates.h"
#include "cornelrudder/state/AdmissionPolicy.h"

#include <deque>

namespace cornelrudder::state {

/**
 * One queue in order of arrival, without shares of classes or organisations.
 * The class only sets the longest wait.
 */
class FifoAdmission final : public AdmissionQueue
{
public:
  explicit FifoAdmission(AdmissionSettings aSettings);

  void Apply(const AdmissionSettings& aSettings) override;
  void SetSlots(int aSlots) override;
  AdmissionDecision Offer(const AdmissionItem& aItem,
                          std::chrono::milliseconds aNow) override;
  std::optional<AdmissionGrant> Next(std::chrono::milliseconds aNow) override;
  std::vector<AdmissionItem> Expire(std::chrono::milliseconds aNow) override;
  std::optional<std::chrono::milliseconds> NextExpiry() const override;
  void ReleaseSlot(const AdmissionGrant& aGrant,
                   std::chrono::milliseconds aRunTime,
                   bool aCompleted) override;
  void AddGrant(const AdmissionGrant& aGrant) override;
  std::vector<AdmissionItem> RemoveWaiting() override;
  int Slots() const override;
  int Running() const override;
  std::size_t Waiting() const override;

private:
  struct Entry
  {
    AdmissionItem mItem;
    std::chrono::milliseconds mLatestStart;
  };

  AdmissionSettings mSettings;
  int mSlots = 0;
  int mRunning = 0;
  std::deque<Entry> mEntries;
  std::size_t mBytes = 0;
  RunTimeEstimate mEstimate;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_FIFO_ADMISSION_H
