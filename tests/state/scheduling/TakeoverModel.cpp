#include "TakeoverModel.h"

#include "FleetModel.h"
#include "TakeoverChecks.h"
#include "TakeoverContext.h"
#include "TakeoverDaemon.h"
#include "TakeoverFaults.h"
#include "TakeoverStore.h"
#include "TakeoverWorker.h"

#include <deque>
#include <utility>

namespace cornelrudder::tests {

using namespace state::scheduling;

const TakeoverRules kTenureRules{ "tenure",
                                  true,
                                  false,
                                  &EarlierCommandTimes::mBySighting };

class TakeoverModel::Impl
{
public:
  Impl(const TakeoverRules& aRules, TakeoverPlan aPlan, bool aIsTraced);

  TakeoverContext mContext;

private:
  void ScheduleJobs();
  void ScheduleJob(const std::string& aId, milliseconds aAt);

  ModelStore mStore;
  TakeoverChecks mChecks{ mContext };
  std::deque<TakeoverWorker> mWorkers;
  std::deque<TakeoverDaemon> mDaemons;
  TakeoverFaults mFaults{ mContext, mStore, mWorkers, mDaemons };
};

TakeoverModel::Impl::Impl(const TakeoverRules& aRules,
                          TakeoverPlan aPlan,
                          bool aIsTraced)
  : mContext(std::move(aPlan), aIsTraced)
{
  for (std::size_t i = 0; i < mContext.mPlan.mWorkers; ++i) {
    mWorkers.emplace_back(mContext, mStore, mChecks, i);
  }
  for (std::size_t i = 0; i < kTakeoverDaemons; ++i) {
    mDaemons.emplace_back(aRules, mContext, mStore, mWorkers, i);
  }
  ScheduleJobs();
  mFaults.Schedule();
}

void
TakeoverModel::Impl::ScheduleJobs()
{
  constexpr milliseconds kLastJobAt = kTakeoverFaultTime + milliseconds(5'000);
  milliseconds at(100);
  for (std::size_t i = 0; at < kLastJobAt; ++i) {
    ScheduleJob("j" + std::to_string(i), at);
    at += mContext.mDraws.Between(milliseconds(200), milliseconds(3'000));
  }
}

/** Schedules the submission of a job, and in some cases its cancellation. */
void
TakeoverModel::Impl::ScheduleJob(const std::string& aId, milliseconds aAt)
{
  Draws& draws = mContext.mDraws;
  StepSpecValues step;
  step.mTasks = 1 + draws.Below(3);
  step.mDemand =
    Resources(1'000 * static_cast<std::int64_t>(1 + draws.Below(4)), 100, 0);
  const TaskJob job = MakeJob(aId, step, draws.Chance(0.3) ? 0 : 1, 3);
  // The order of the draws is part of what a seed means.
  const milliseconds longest(draws.Chance(0.5) ? 2'000 : 30'000);
  const milliseconds workTime = draws.Between(milliseconds(200), longest);
  const auto add = [this, job, workTime](bool aIsCancelled) {
    mStore.AddJob(job, aIsCancelled, workTime);
  };
  mContext.mQueue.Schedule(aAt, [add] { add(false); });
  if (draws.Chance(0.05)) {
    mContext.mQueue.Schedule(
      aAt + draws.Between(milliseconds(0), milliseconds(8'000)),
      [add] { add(true); });
  }
}

TakeoverModel::TakeoverModel(const TakeoverRules& aRules,
                             TakeoverPlan aPlan,
                             bool aIsTraced)
  : mImpl(std::make_unique<Impl>(aRules, std::move(aPlan), aIsTraced))
{
}

TakeoverModel::~TakeoverModel() = default;

void
TakeoverModel::Run()
{
  mImpl->mContext.mQueue.RunUntil(kTakeoverPlanTime);
}

const std::vector<std::string>&
TakeoverModel::Violations() const
{
  return mImpl->mContext.mViolations;
}

const std::vector<std::string>&
TakeoverModel::Trace() const
{
  return mImpl->mContext.mTrace;
}

} // namespace cornelrudder::tests
