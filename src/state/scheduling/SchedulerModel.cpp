#include "SchedulerModel.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state::scheduling {

const char*
TaskPhaseName(TaskPhase aPhase)
{
  static constexpr std::array kNames{
    "waiting", "planned", "starting", "running", "done"
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

const char*
LossCauseName(LossCause aCause)
{
  static constexpr std::array<const char*, kLossCauses> kNames{
    "other", "failed",        "gang_broken", "preempted",  "stalled",
    "slow",  "worker_leaves", "job_ended",   "worker_lost"
  };
  return kNames.at(static_cast<std::size_t>(aCause));
}

const char*
LossBasisName(LossBasis aBasis)
{
  static constexpr std::array<const char*, kLossBases> kNames{
    "own_command",        "release",     "presumption", "entry",
    "other_worker_reply", "renew_reply", "start_reply"
  };
  return kNames.at(static_cast<std::size_t>(aBasis));
}

const char*
WorkerConditionName(WorkerCondition aCondition)
{
  static constexpr std::array<const char*, kWorkerConditions> kNames{
    "usable",        "unlisted",  "draining", "silent",   "unconfirmed",
    "clock_unknown", "suspected", "slow",     "evacuated"
  };
  return kNames.at(static_cast<std::size_t>(aCondition));
}

WorkerCondition
WorkerState::ConditionAt(Millis aNow) const
{
  const std::array<std::pair<bool, WorkerCondition>, kWorkerConditions - 1>
    conditions{ { { !mListed, WorkerCondition::kUnlisted },
                  { mInfo.mDraining, WorkerCondition::kDraining },
                  { mFailedRenewals > 0, WorkerCondition::kSilent },
                  { mIsQueryDue, WorkerCondition::kUnconfirmed },
                  { mClock.count() <= 0, WorkerCondition::kClockUnknown },
                  { mIsEvacuated, WorkerCondition::kEvacuated },
                  { aNow < mSuspectedUntil, WorkerCondition::kSuspected },
                  { aNow < mSlowUntil, WorkerCondition::kSlow } } };
  for (const auto& [applies, condition] : conditions) {
    if (applies) {
      return condition;
    }
  }
  return WorkerCondition::kUsable;
}

std::size_t
JobState::FirstTask(std::size_t aOccurrence, std::size_t aStep) const
{
  std::size_t n = aOccurrence * mJob.TasksPerOccurrence();
  for (std::size_t i = 0; i < aStep; ++i) {
    n += mJob.Steps()[i].Tasks();
  }
  return n;
}

std::pair<std::size_t, std::size_t>
JobState::StepAndIndexOf(std::size_t aTask) const
{
  std::size_t index = aTask % mJob.TasksPerOccurrence();
  std::size_t step = 0;
  while (index >= mJob.Steps()[step].Tasks()) {
    index -= mJob.Steps()[step].Tasks();
    ++step;
  }
  return { step, index };
}

TaskId
JobState::IdOf(std::size_t aTask) const
{
  const auto [step, index] = StepAndIndexOf(aTask);
  return { mJob.Id(), OccurrenceOf(aTask), step, index };
}

std::optional<std::size_t>
JobState::Find(const TaskId& aTask) const
{
  if (aTask.Occurrence() >= mJob.Occurrences() ||
      aTask.Step() >= mJob.Steps().size() ||
      aTask.Index() >= mJob.Steps()[aTask.Step()].Tasks()) {
    return std::nullopt;
  }
  return FirstTask(aTask.Occurrence(), aTask.Step()) + aTask.Index();
}

std::pair<std::size_t, std::size_t>
JobState::StepRange(std::size_t aTask) const
{
  const auto [step, index] = StepAndIndexOf(aTask);
  const std::size_t first = aTask - index;
  return { first, first + mJob.Steps()[step].Tasks() };
}

bool
JobState::IsStepDone(std::size_t aOccurrence, std::size_t aStep) const
{
  const std::size_t first = FirstTask(aOccurrence, aStep);
  const auto begin = mTasks.begin() + static_cast<std::ptrdiff_t>(first);
  const auto n = static_cast<std::ptrdiff_t>(mJob.Steps()[aStep].Tasks());
  return std::all_of(
    begin, begin + n, [](const Task& aTask) { return aTask.IsDone(); });
}

bool
JobState::IsStepReady(std::size_t aOccurrence, std::size_t aStep) const
{
  const auto& dependencies = mJob.Steps()[aStep].Dependencies();
  return std::all_of(
    dependencies.begin(), dependencies.end(), [&](std::size_t aEarlier) {
      return IsStepDone(aOccurrence, aEarlier);
    });
}

bool
JobState::IsAnyAssigned() const
{
  return std::any_of(mTasks.begin(), mTasks.end(), [](const Task& aTask) {
    return aTask.IsAssigned();
  });
}

std::span<const Task>
JobState::TasksOf(std::size_t aOccurrence) const
{
  const std::size_t n = mJob.TasksPerOccurrence();
  return std::span<const Task>(mTasks).subspan(aOccurrence * n, n);
}

bool
JobState::IsAnyAssigned(std::size_t aOccurrence) const
{
  const std::span<const Task> tasks = TasksOf(aOccurrence);
  return std::any_of(tasks.begin(), tasks.end(), [](const Task& aTask) {
    return aTask.IsAssigned();
  });
}

bool
JobState::IsOccurrenceDone(std::size_t aOccurrence) const
{
  const std::span<const Task> tasks = TasksOf(aOccurrence);
  return std::all_of(tasks.begin(), tasks.end(), [](const Task& aTask) {
    return aTask.IsDone();
  });
}

bool
JobState::IsWaitingForGang(std::size_t aTask) const
{
  if (!StepOf(aTask).IsGang() ||
      mTasks[aTask].mProgressPercent < kCompletePercent) {
    return false;
  }
  const auto [first, end] = StepRange(aTask);
  return std::any_of(mTasks.begin() + static_cast<std::ptrdiff_t>(first),
                     mTasks.begin() + static_cast<std::ptrdiff_t>(end),
                     [](const Task& aMember) {
                       return aMember.mProgressPercent < kCompletePercent;
                     });
}

JobState::JobState(TaskJob aJob,
                   Millis aSubmittedAt,
                   std::size_t aTasksPerPart,
                   std::vector<RecordRow> aRows)
  : mJob(std::move(aJob))
  , mSubmittedAt(aSubmittedAt)
  , mTasksPerPart(aTasksPerPart)
  , mRows(std::move(aRows))
  , mTasks(mJob.Tasks())
  , mStepRuns(mJob.Steps().size())
{
  if (mTasksPerPart > 0) {
    mRows = { { 0, 0 } };
    while (mRows.back().mFirstTask + mTasksPerPart < mTasks.size()) {
      mRows.push_back(
        { mRows.back().mFirstTask + mTasksPerPart, mRows.size() });
    }
  }
  // Rows that another writer may have added.
  std::erase_if(mRows, [this](const RecordRow& aRow) {
    return aRow.mFirstTask >= mTasks.size();
  });
}

const RecordRow&
JobState::RowOf(std::size_t aTask) const
{
  const auto next =
    std::upper_bound(mRows.begin(),
                     mRows.end(),
                     aTask,
                     [](std::size_t aTask, const RecordRow& aRow) {
                       return aTask < aRow.mFirstTask;
                     });
  return *std::prev(next);
}

std::pair<std::size_t, std::size_t>
JobState::RowRange(std::size_t aFirst) const
{
  const RecordRow* row = &RowOf(aFirst);
  const bool isLast = row == &mRows.back();
  return { aFirst, isLast ? mTasks.size() : std::next(row)->mFirstTask };
}

std::size_t
JobState::NextChangedRow() const
{
  const bool isFirstToLast = IsFinal(mPhase) || mTasksPerPart > 0;
  return isFirstToLast ? *mChangedRows.begin() : *mChangedRows.rbegin();
}

void
JobState::DivideRow(std::size_t aFirst)
{
  const auto [first, end] = RowRange(aFirst);
  const auto highest =
    std::max_element(mRows.begin(), mRows.end(), [](auto& aOne, auto& aTwo) {
      return aOne.mNumber < aTwo.mNumber;
    });
  const RecordRow added{ first + (end - first) / 2, highest->mNumber + 1 };
  mRows.insert(std::upper_bound(mRows.begin(), mRows.end(), added), added);
  mTasksPerPart = 0;
  mChangedRows.insert({ first, added.mFirstTask });
}

bool
JobState::IsUncountedFailure(std::size_t aTask, std::uint64_t aRun) const
{
  const std::size_t counted = CountedTask(aTask);
  const auto it = mFailedRuns.find(counted);
  const bool isCounted = it != mFailedRuns.end() && it->second.contains(aRun);
  // A record with many failures, or one of an earlier version, may count runs
  // without their numbers.
  const std::size_t known = it != mFailedRuns.end() ? it->second.size() : 0;
  const bool areAllKnown =
    known >= static_cast<std::size_t>(mTasks[counted].mFailures);
  return IsOpen(aTask) && aRun <= mTasks[aTask].mRun && !isCounted &&
         (areAllKnown || mLostRuns.contains({ aTask, aRun }));
}

std::vector<std::uint64_t>
JobState::LatestFailedRuns(std::size_t aTask) const
{
  const auto it = mFailedRuns.find(aTask);
  if (it == mFailedRuns.end()) {
    return {};
  }
  const std::size_t n = std::min(it->second.size(), TaskRecord::kMaxFailedRuns);
  return { std::prev(it->second.end(), static_cast<std::ptrdiff_t>(n)),
           it->second.end() };
}

JobProgress
JobState::ToProgress(std::size_t aFirst) const
{
  std::vector<TaskRecord> records;
  auto [first, end] = RowRange(aFirst);
  if (IsFinal(mPhase) && !IsAnyAssigned()) {
    // No run can exist any more. Without its tasks, the record is smaller for a
    // new owner to read.
    end = first;
  }
  records.reserve(end - first);
  for (std::size_t i = first; i < end; ++i) {
    const Task& task = mTasks[i];
    TaskRecord record;
    record.mRun = task.mRun;
    record.mFailures = task.mFailures;
    record.mCrashes = task.mCrashes;
    record.mMemberCrashes = task.mMemberCrashes;
    if (const auto it = mCrashedRuns.find(i); it != mCrashedRuns.end()) {
      record.mLastCrashedRun = it->second;
    }
    if (task.IsAssigned()) {
      record.mState = RecordedState::kAssigned;
      record.mWorker = task.mWorker;
      record.mIncarnation = task.mIncarnation;
      record.mStartAfter =
        std::max(task.mEarliestStart - mSubmittedAt, Millis(0));
    }
    if (!task.IsDone() && !IsFinal(mPhase)) {
      record.mFailedRuns = LatestFailedRuns(i);
    }
    if (task.IsDone()) {
      record.mState = RecordedState::kDone;
    } else if (!IsFinal(mPhase) && !task.mIsCheckpointUnstored) {
      record.mCheckpoint = task.mCheckpoint;
    }
    records.push_back(std::move(record));
  }
  const JobProgress progress(
    mJob.Id(), mJob.Organisation(), mPhase, mStarted, std::move(records));
  const RecordRow& row = RowOf(aFirst);
  if (mTasksPerPart == 0) {
    return progress.AsRow(row);
  }
  return mRows.size() > 1 ? progress.AsPart(row.mNumber, mTasksPerPart)
                          : progress;
}

} // namespace cornelrudder::state::scheduling
