#include "CrashTrial.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace cornelrudder::tests {

using namespace state::scheduling;

namespace {

constexpr milliseconds kTrialTick{ 50 };
/** Time after the last submission and wave in which all jobs should end. */
constexpr milliseconds kSettleTime{ 90'000 };
constexpr int kAttempts = 2;
/** Part of the violation that FleetModel records for an excess start. */
constexpr const char* kExcessStart = "although workers crash under it";

TaskJob
MakeTrialJob(const CrashTrialOptions& aOptions, const std::string& aId)
{
  StepSpecValues step;
  step.mTasks = aOptions.mTasks;
  step.mDemand = Resources(1'000, 1'000, aOptions.mAccelerators);
  step.mEstimatedRunTime = aOptions.mRunTime;
  step.mGang = aOptions.mIsGang;
  return MakeJob(aId, step, 1, kAttempts);
}

} // namespace

CrashTrialResult
CrashTrialResult::Plus(const CrashTrialResult& aOther) const
{
  CrashTrialResult sum = *this;
  sum.mHealthyJobs += aOther.mHealthyJobs;
  sum.mHealthyFailed += aOther.mHealthyFailed;
  sum.mHealthyUnfinished += aOther.mHealthyUnfinished;
  sum.mDeadlyJobs += aOther.mDeadlyJobs;
  sum.mDeadlyFailed += aOther.mDeadlyFailed;
  sum.mExcessStarts += aOther.mExcessStarts;
  sum.mViolations.insert(sum.mViolations.end(),
                         aOther.mViolations.begin(),
                         aOther.mViolations.end());
  return sum;
}

CrashTrialResult
PlayCrashTrial(const CrashTrialOptions& aOptions)
{
  std::mt19937_64 random(aOptions.mSeed);
  const auto chance = [&random](double aShare) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random) < aShare;
  };
  FleetModelOptions options;
  options.mWorkers = aOptions.mWorkers;
  options.mWorkersPerRack = aOptions.mWorkersPerRack;
  options.mCrashTime = aOptions.mDownTime;
  options.mSeed = aOptions.mSeed;
  options.mHasNewIdentifiers = aOptions.mHasNewIdentifiers;
  FleetModel model(options);
  std::vector<std::string> healthy;
  std::vector<std::string> deadly;
  const auto down = static_cast<std::size_t>(
    std::lround(aOptions.mDownShare * static_cast<double>(aOptions.mWorkers)));
  milliseconds nextJob{ 0 };
  milliseconds nextWave = aOptions.mWaveInterval;
  milliseconds nextOwner = aOptions.mOwnerTime;
  for (milliseconds t{ 0 }; t < aOptions.mSubmitTime + kSettleTime;
       t += kTrialTick) {
    if (t >= nextJob && t < aOptions.mSubmitTime) {
      nextJob += aOptions.mSubmitInterval;
      const bool isDeadly = chance(aOptions.mDeadlyShare);
      std::vector<std::string>& jobs = isDeadly ? deadly : healthy;
      const std::string id =
        (isDeadly ? "bad" : "good") + std::to_string(jobs.size());
      jobs.push_back(id);
      if (isDeadly) {
        const std::size_t member = random() % aOptions.mTasks;
        model.MakeDeadly({ id, 0, 0, member }, aOptions.mDeadlyDelay);
      }
      model.Submit(MakeTrialJob(aOptions, id), aOptions.mRunTime);
    }
    if (t >= nextWave && t < aOptions.mSubmitTime) {
      nextWave += aOptions.mWaveInterval;
      std::vector<std::size_t> workers(aOptions.mWorkers);
      std::iota(workers.begin(), workers.end(), 0);
      std::shuffle(workers.begin(), workers.end(), random);
      for (std::size_t i = 0; i < down; ++i) {
        model.CrashWorkerFor(workers[i], aOptions.mDownTime);
      }
    }
    if (aOptions.mOwnerTime.count() > 0 && t >= nextOwner &&
        t < aOptions.mSubmitTime) {
      nextOwner += aOptions.mOwnerTime;
      model.ReplaceOwner();
    }
    model.Run(kTrialTick);
  }
  CrashTrialResult result;
  result.mHealthyJobs = healthy.size();
  result.mDeadlyJobs = deadly.size();
  for (const std::string& id : healthy) {
    const JobPhase phase = model.OutcomeOf(id).mPhase;
    result.mHealthyFailed += phase == JobPhase::kFailed ? 1 : 0;
    result.mHealthyUnfinished += IsFinal(phase) ? 0 : 1;
  }
  for (const std::string& id : deadly) {
    result.mDeadlyFailed +=
      model.OutcomeOf(id).mPhase == JobPhase::kFailed ? 1 : 0;
  }
  for (const std::string& violation : model.Violations()) {
    if (violation.find(kExcessStart) != std::string::npos) {
      ++result.mExcessStarts;
    } else {
      result.mViolations.push_back(violation);
    }
  }
  return result;
}

} // namespace cornelrudder::tests
