#include "PairChecker.h"

#include <algorithm>

namespace cornelrudder::tests {

std::string
FormatSeconds(std::uint64_t aMilliseconds)
{
  const std::string decimals = std::to_string(aMilliseconds % 1'000);
  return std::to_string(aMilliseconds / 1'000) + "." +
         std::string(3 - decimals.size(), '0') + decimals;
}

void
PairChecker::RecordOrder(const RunId& aId, std::uint64_t aNowMs)
{
  mOrders.try_emplace(aId, aNowMs);
}

std::vector<std::string>
PairChecker::RecordStart(const RunId& aId,
                         std::uint64_t aEpoch,
                         std::size_t aGate,
                         std::uint64_t aNowMs)
{
  const auto order = mOrders.find(aId);
  const Run run{
    aId, aEpoch, aGate, order != mOrders.end() ? order->second : aNowMs, aNowMs
  };
  std::vector<std::string> pairs;
  std::vector<Run>& runs = mRuns[aId.mTask];
  for (const Run& it : runs) {
    if (it.mEndedMs == 0) {
      pairs.push_back(Describe(it, run, "at the same time"));
    } else if (it.mIsRecorded) {
      pairs.push_back(Describe(it, run, "after a recorded end"));
    }
  }
  runs.push_back(run);
  return pairs;
}

void
PairChecker::RecordEnd(const RunId& aId, std::uint64_t aNowMs)
{
  Run* run = Find(aId);
  if (run != nullptr && run->mEndedMs == 0) {
    run->mEndedMs = aNowMs;
    run->mStartsBeforeEnd = mRuns[aId.mTask].size();
  }
}

std::vector<std::string>
PairChecker::RecordAcknowledged(const RunId& aId)
{
  Run* run = Find(aId);
  if (run == nullptr || run->mEndedMs == 0 || run->mIsRecorded) {
    return {};
  }
  run->mIsRecorded = true;
  const std::vector<Run>& runs = mRuns[aId.mTask];
  if (run->mStartsBeforeEnd == runs.size()) {
    return {};
  }
  return { Describe(*run, runs.back(), "after an end that is recorded later") };
}

PairChecker::Run*
PairChecker::Find(const RunId& aId)
{
  std::vector<Run>& runs = mRuns[aId.mTask];
  const auto it =
    std::find_if(runs.rbegin(), runs.rend(), [&aId](const Run& aRun) {
      return aRun.mId == aId;
    });
  return it == runs.rend() ? nullptr : &*it;
}

std::string
PairChecker::Describe(const Run& aFirst,
                      const Run& aSecond,
                      const char* aRelation)
{
  const auto describe = [](const Run& aRun) {
    return "run " + std::to_string(aRun.mId.mRun) + " on " + aRun.mId.mWorker +
           " (epoch " + std::to_string(aRun.mEpoch) + ", gate " +
           std::to_string(aRun.mGate) + ", ordered " +
           FormatSeconds(aRun.mOrderedMs) + ", started " +
           FormatSeconds(aRun.mStartedMs) + ", ended " +
           (aRun.mEndedMs == 0 ? "-" : FormatSeconds(aRun.mEndedMs)) + ")";
  };
  return aFirst.mId.mTask + " has a pair of runs " + aRelation + ": " +
         describe(aFirst) + ", " + describe(aSecond);
}

} // namespace cornelrudder::tests
