#include "ProgressChecker.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::tests {

namespace {

/** A step counts as able to run if there is room for so many of its units. */
constexpr std::int64_t kRequiredRoom = 2;

std::int64_t
CountSlots(const FleetView& aView, std::int64_t aAccelerators)
{
  std::int64_t slots = 0;
  for (const std::int64_t it : aView.mFreeAccelerators) {
    slots +=
      std::max<std::int64_t>(it, 0) / std::max<std::int64_t>(aAccelerators, 1);
  }
  return slots;
}

bool
IsMostlyFree(const FleetView& aView)
{
  std::int64_t total = 0;
  for (const std::int64_t it : aView.mFreeAccelerators) {
    total += it;
  }
  return 2 * total > aView.mAccelerators;
}

} // namespace

std::string
StepName(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

std::string
JobName(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

void
ProgressChecker::AddJob(const std::string& aJob, std::vector<Step> aSteps)
{
  mJobs.insert({ aJob, { std::move(aSteps), std::nullopt, false } });
}

void
ProgressChecker::EndFault(TimePoint aNow)
{
  mFaults = std::max(0, mFaults - 1);
  mLastFaultEnd = aNow;
}

void
ProgressChecker::RecordDone(const std::string& aTask)
{
  mDone.insert(aTask);
  mDone.insert(StepName(aTask));
}

bool
ProgressChecker::IsCalm(TimePoint aNow) const
{
  return mFaults == 0 &&
         (!mLastFaultEnd || aNow - *mLastFaultEnd >= kRecoveryTime);
}

/** @param aView Ends that it lists count too; null to leave them out. */
bool
ProgressChecker::IsDone(const std::string& aJob,
                        const Job& aContent,
                        std::size_t aStep,
                        const FleetView* aView) const
{
  const std::string step = aJob + ".0." + std::to_string(aStep);
  const Step& content = aContent.mSteps.at(aStep);
  std::size_t done = 0;
  for (std::size_t i = 0; i < content.mTasks; ++i) {
    const std::string task = step + "." + std::to_string(i);
    const bool isListed =
      aView != nullptr && aView->mListedTasks.contains(task);
    done += mDone.contains(task) || isListed ? 1 : 0;
  }
  // The end of one member stands for the whole gang.
  return done == content.mTasks || (content.mIsGang && done > 0);
}

std::optional<std::size_t>
ProgressChecker::FindRunnableStep(const std::string& aId,
                                  const Job& aJob,
                                  const FleetView& aView) const
{
  for (std::size_t i = 0; i < aJob.mSteps.size(); ++i) {
    const Step& step = aJob.mSteps[i];
    const bool isReady = std::all_of(
      step.mAfter.begin(), step.mAfter.end(), [&](std::size_t aStep) {
        return IsDone(aId, aJob, aStep, nullptr);
      });
    const auto unit =
      step.mIsGang ? static_cast<std::int64_t>(step.mTasks) : std::int64_t{ 1 };
    if (isReady && !IsDone(aId, aJob, i, &aView) &&
        CountSlots(aView, step.mAccelerators) >= kRequiredRoom * unit) {
      return i;
    }
  }
  return std::nullopt;
}

std::vector<std::string>
ProgressChecker::Check(TimePoint aNow, const FleetView& aView)
{
  std::vector<std::string> violations;
  const bool isApplicable = IsCalm(aNow) && IsMostlyFree(aView);
  for (auto& [id, job] : mJobs) {
    const auto step = isApplicable && !aView.mRunningJobs.contains(id)
                        ? FindRunnableStep(id, job, aView)
                        : std::nullopt;
    if (!step) {
      job.mIdleSince.reset();
      continue;
    }
    if (!job.mIdleSince) {
      job.mIdleSince = aNow;
    }
    if (!job.mIsReported && aNow - *job.mIdleSince >= kMaxIdle) {
      job.mIsReported = true;
      violations.push_back(id + " has no run for 3 s although its step " +
                           std::to_string(*step) +
                           " can run and most capacity is free");
    }
  }
  return violations;
}

void
EndChecker::RecordListed(const std::string& aWorker,
                         const std::string& aTask,
                         std::uint64_t aEpoch,
                         TimePoint aNow)
{
  const auto it = mListings.find(aTask);
  if (it == mListings.end() || it->second.mEpoch != aEpoch) {
    mListings[aTask] = { aWorker, aEpoch, aNow, false };
  }
}

void
EndChecker::RecordRenewal(const std::string& aWorker,
                          std::uint64_t aEpoch,
                          TimePoint aNow)
{
  for (auto& [task, listing] : mListings) {
    if (listing.mWorker == aWorker && listing.mEpoch == aEpoch &&
        aNow - listing.mListedAt >= kSettleTime) {
      listing.mIsConfirmed = true;
    }
  }
}

void
EndChecker::ForgetUnconfirmed(const std::string& aWorker)
{
  std::erase_if(mListings, [&aWorker](const auto& aEntry) {
    return aEntry.second.mWorker == aWorker && !aEntry.second.mIsConfirmed;
  });
}

bool
EndChecker::WasTold(const std::string& aTask, std::uint64_t aEpoch) const
{
  const auto it = mListings.find(aTask);
  return it != mListings.end() && it->second.mEpoch == aEpoch &&
         it->second.mIsConfirmed;
}

} // namespace cornelrudder::tests
