#include "GangSimulation.h"

#include <algorithm>

namespace cornelrudder::tests {

using namespace state;
using std::chrono::milliseconds;
using tools::WorkerModel;

namespace {

constexpr GangTiming kTiming{};
constexpr int kAccelerators = 8;
constexpr std::size_t kSpareWorkers = 2;

/** Sum of the weights of all actions. */
constexpr int kTotalWeight = 156;

/** Long enough that most simulations interrupt the task. */
constexpr std::chrono::seconds kTaskDuration{ 12 };

JobSpec
Spec(int aMembers)
{
  return { JobId("job-1"),
           OrganisationId("acme"),
           TeamId("night"),
           ClassName("nest"),
           Shape(aMembers, 4, Adjacency::kRegion),
           "",
           kTaskDuration };
}

} // namespace

GangTransition
RealTransition()
{
  return [](const Gang& aGang, const GangEvent& aEvent) {
    return aGang.Handle(aEvent);
  };
}

const std::vector<GangSimulation::Action> GangSimulation::kActions{
  { 30, &GangSimulation::DeliverCommand },
  { 5, &GangSimulation::LoseCommand },
  { 4, &GangSimulation::LoseReply },
  { 30, &GangSimulation::DeliverReply },
  { 20, &GangSimulation::ApplyWrite },
  { 3, &GangSimulation::ApplyWriteSilently },
  { 3, &GangSimulation::DelayWrite },
  { 6, &GangSimulation::ReadRow },
  { 14, &GangSimulation::AdvanceTime },
  { 3, &GangSimulation::CrashWorker },
  { 1, &GangSimulation::ToggleFailAll },
  { 4, &GangSimulation::ToggleWorkerPartition },
  { 2, &GangSimulation::CrashOwner },
  { 3, &GangSimulation::FailOver },
  { 1, &GangSimulation::LoseLease },
  { 1, &GangSimulation::Cancel },
  { 2, &GangSimulation::Preempt },
  { 12, &GangSimulation::Place },
  { 12, &GangSimulation::DeliverAll },
};

GangSimulation::GangSimulation(GangTransition aTransition,
                               int aMembers,
                               bool aIdempotent)
  : mTransition(std::move(aTransition))
  , mMembers(aMembers)
  , mIdempotent(aIdempotent)
  , mRow{ 0, "", Job::Queued(Spec(aMembers)) }
  , mWorkers(static_cast<std::size_t>(aMembers) + kSpareWorkers,
             WorkerModel(kAccelerators))
  , mJournalRead(mWorkers.size(), 0)
{
  GangStep step =
    Gang::Submit(Spec(aMembers), mLastEpoch, aIdempotent, kTiming);
  mOwner = Owner{ ++mLastIncarnation, mLastEpoch, step.mNext, 0, std::nullopt };
  ApplyStep(std::move(step));
}

void
GangSimulation::Step(std::uint16_t aChoice)
{
  int n = aChoice % kTotalWeight;
  for (const Action& action : kActions) {
    n -= action.mWeight;
    if (n < 0) {
      (this->*action.mRun)(static_cast<std::size_t>(aChoice / kTotalWeight));
      break;
    }
  }
  CheckWorkers();
}

void
GangSimulation::RunToCompletion()
{
  for (WorkerModel& worker : mWorkers) {
    worker.SetFailAll(false);
  }
  mPartitioned.clear();
  for (int i = 0; i < 400; ++i) {
    if (!mOwner || mOwner->mGang.Phase() == GangPhase::kSuperseded ||
        mOwner->mGang.Phase() == GangPhase::kOrphaned) {
      mOwner.reset();
      FailOver(0);
    }
    DeliverAll(0);
    AdvanceTime(2);
    Place(static_cast<std::size_t>(i));
    CheckWorkers();
  }
  if (!IsFinal(mRow.mJob.State())) {
    RecordViolation("a job never reaches a final state; it stays in state " +
                    std::string(JobStateName(mRow.mJob.State())));
  }
  for (const WorkerModel& worker : mWorkers) {
    for (const auto& [key, task] : worker.Tasks()) {
      if (task.mState == MemberState::kRunning) {
        RecordViolation("a member runs although its lease has expired");
      }
    }
  }
  const Job& job = mRow.mJob;
  if (IsFinal(job.State()) && job.HasRun() == WasRun::kNo && mEverStarted) {
    RecordViolation("a job that started is reported as not run");
  }
}

void
GangSimulation::DeliverCommand(std::size_t aIndex)
{
  if (mSent.empty()) {
    return;
  }
  const auto it =
    mSent.begin() + static_cast<std::ptrdiff_t>(aIndex % mSent.size());
  const SentCommand sent = *it;
  mSent.erase(it);
  // The client times out, so the command is not delivered.
  const bool late = mNow - sent.mSentAt >= kTiming.mMaxCommandDelay;
  if (late || mPartitioned.contains(sent.mWorker)) {
    mReplies.push_back(
      { sent.mCommand,
        { WorkerReplyStatus::kUnreachable, MemberState::kUnknown, false } });
    return;
  }
  mReplies.push_back(
    { sent.mCommand, mWorkers[sent.mWorker].Handle(sent.mCommand, mNow) });
}

void
GangSimulation::LoseCommand(std::size_t aIndex)
{
  if (mSent.empty()) {
    return;
  }
  const auto it =
    mSent.begin() + static_cast<std::ptrdiff_t>(aIndex % mSent.size());
  mReplies.push_back(
    { it->mCommand,
      { WorkerReplyStatus::kUnreachable, MemberState::kUnknown, false } });
  mSent.erase(it);
}

void
GangSimulation::LoseReply(std::size_t aIndex)
{
  if (mReplies.empty()) {
    return;
  }
  PendingReply& reply = mReplies[aIndex % mReplies.size()];
  reply.mReply = { WorkerReplyStatus::kUnreachable,
                   MemberState::kUnknown,
                   false };
}

void
GangSimulation::DeliverReply(std::size_t aIndex)
{
  if (mReplies.empty()) {
    return;
  }
  const auto it =
    mReplies.begin() + static_cast<std::ptrdiff_t>(aIndex % mReplies.size());
  const PendingReply reply = *it;
  mReplies.erase(it);
  const WorkerCommand& command = reply.mCommand;
  if (!mOwner || mOwner->mEpoch != command.Epoch()) {
    return;
  }
  if (const auto kind = ToGangEvent(command.Action(), reply.mReply)) {
    HandleEvent(GangEvent::ForMember(*kind,
                                     command.Attempt(),
                                     static_cast<std::size_t>(command.Member()),
                                     mNow));
  }
}

void
GangSimulation::ApplyWrite(std::size_t aIndex)
{
  if (mWrites.empty()) {
    return;
  }
  const auto it =
    mWrites.begin() + static_cast<std::ptrdiff_t>(aIndex % mWrites.size());
  const PendingWrite write = *it;
  mWrites.erase(it);
  const bool applied = ApplyToTable(write) || mRow.mWriteId == write.mWriteId;
  const bool isCurrent = mOwner && mOwner->mIncarnation == write.mIncarnation &&
                         mOwner->mWrite &&
                         mOwner->mWrite->mWriteId == write.mWriteId;
  if (!isCurrent) {
    return;
  }
  if (applied) {
    mOwner->mVersion = mRow.mVersion;
    mOwner->mWrite.reset();
    mOwner->mMustRead = false;
  }
  HandleEvent(GangEvent::ForGang(
    applied ? GangEventKind::kRowWritten : GangEventKind::kRowConflict, mNow));
}

void
GangSimulation::ApplyWriteSilently(std::size_t aIndex)
{
  if (mWrites.empty()) {
    return;
  }
  const auto it =
    mWrites.begin() + static_cast<std::ptrdiff_t>(aIndex % mWrites.size());
  const PendingWrite write = *it;
  mWrites.erase(it);
  ApplyToTable(write);
  if (mOwner && mOwner->mIncarnation == write.mIncarnation) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kRowWriteUnknown, mNow));
  }
}

void
GangSimulation::DelayWrite(std::size_t aIndex)
{
  // The owner's request times out, but the write may still take effect later.
  if (!mWrites.empty() && mOwner &&
      mOwner->mIncarnation == mWrites[aIndex % mWrites.size()].mIncarnation) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kRowWriteUnknown, mNow));
  }
}

void
GangSimulation::ReadRow(std::size_t /*aIndex*/)
{
  if (!mOwner || !mOwner->mMustRead || !mOwner->mWrite) {
    return;
  }
  mOwner->mMustRead = false;
  GangEventKind kind = GangEventKind::kRowConflict;
  if (mRow.mWriteId == mOwner->mWrite->mWriteId) {
    kind = GangEventKind::kRowWritten;
    mOwner->mVersion = mRow.mVersion;
    mOwner->mWrite.reset();
  } else if (mRow.mVersion == mOwner->mVersion) {
    kind = GangEventKind::kRowWriteNotApplied;
  }
  HandleEvent(GangEvent::ForGang(kind, mNow));
}

void
GangSimulation::AdvanceTime(std::size_t aIndex)
{
  mNow += milliseconds(250) * static_cast<int>(1 + aIndex % 4);
  for (WorkerModel& worker : mWorkers) {
    worker.Advance(mNow);
  }
  if (mOwner) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kTick, mNow));
  }
}

void
GangSimulation::CrashWorker(std::size_t aIndex)
{
  CheckWorkers();
  const std::size_t i = aIndex % mWorkers.size();
  mWorkers[i] = WorkerModel(kAccelerators);
  mJournalRead[i] = 0;
}

void
GangSimulation::ToggleFailAll(std::size_t aIndex)
{
  mWorkers[aIndex % mWorkers.size()].SetFailAll((aIndex / 8) % 2 == 0);
}

void
GangSimulation::ToggleWorkerPartition(std::size_t aIndex)
{
  const std::size_t i = aIndex % mWorkers.size();
  if (mPartitioned.erase(i) == 0) {
    mPartitioned.insert(i);
  }
}

void
GangSimulation::CrashOwner(std::size_t /*aIndex*/)
{
  mOwner.reset();
}

void
GangSimulation::FailOver(std::size_t /*aIndex*/)
{
  // A job whose row was never written was not accepted and cannot be adopted.
  if (mRow.mVersion == 0) {
    if (!mOwner) {
      GangStep step =
        Gang::Submit(Spec(mMembers), ++mLastEpoch, mIdempotent, kTiming);
      mOwner =
        Owner{ ++mLastIncarnation, mLastEpoch, step.mNext, 0, std::nullopt };
      ApplyStep(std::move(step));
    }
    return;
  }
  GangStep step =
    Gang::Adopt(mRow.mJob, ++mLastEpoch, mIdempotent, kTiming, mNow);
  mOwner = Owner{
    ++mLastIncarnation, mLastEpoch, step.mNext, mRow.mVersion, std::nullopt
  };
  ApplyStep(std::move(step));
}

void
GangSimulation::LoseLease(std::size_t /*aIndex*/)
{
  if (mOwner) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kDomainLeaseLost, mNow));
  }
}

void
GangSimulation::Cancel(std::size_t aIndex)
{
  // Rare; otherwise few simulations would reach any other final state.
  if (mOwner && aIndex % 8 == 0) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kCancel, mNow));
  }
}

void
GangSimulation::Preempt(std::size_t /*aIndex*/)
{
  if (mOwner) {
    HandleEvent(GangEvent::ForGang(GangEventKind::kPreempt, mNow));
  }
}

void
GangSimulation::Place(std::size_t aIndex)
{
  if (!mOwner || mOwner->mGang.Phase() != GangPhase::kQueued) {
    return;
  }
  std::vector<MemberPlacement> members;
  for (int i = 0; i < mMembers; ++i) {
    const std::size_t n =
      (aIndex + static_cast<std::size_t>(i)) % mWorkers.size();
    members.emplace_back(VmId("worker-" + std::to_string(n)),
                         std::vector<int>{ 0, 1, 2, 3 });
  }
  HandleEvent(GangEvent::Place(GangPlacement(std::move(members)), mNow));
}

/** Delivers all pending messages, so a job can progress within one lease. */
void
GangSimulation::DeliverAll(std::size_t /*aIndex*/)
{
  for (int i = 0; i < 20; ++i) {
    DeliverCommand(0);
    DeliverReply(0);
    ApplyWrite(0);
    ReadRow(0);
  }
}

void
GangSimulation::HandleEvent(const GangEvent& aEvent)
{
  ApplyStep(mTransition(mOwner->mGang, aEvent));
}

void
GangSimulation::ApplyStep(GangStep aStep)
{
  mOwner->mGang = aStep.mNext;
  for (const GangCommand& command : aStep.mCommands) {
    ExecuteCommand(command);
  }
}

void
GangSimulation::ExecuteCommand(const GangCommand& aCommand)
{
  if (aCommand.Kind() == GangCommandKind::kWriteRow) {
    SendWrite();
    return;
  }
  if (aCommand.Kind() == GangCommandKind::kReadRow) {
    mOwner->mMustRead = true;
    return;
  }
  const Job& job = mOwner->mGang.RecordedJob();
  const MemberPlacement& member =
    job.Placement().Members().at(aCommand.Member());
  const WorkerCommand command(aCommand.Action(),
                              RegionId("r"),
                              mOwner->mEpoch,
                              job.Spec().Name(),
                              job.Attempt(),
                              static_cast<int>(aCommand.Member()),
                              member.Accelerators(),
                              kTiming.mLease,
                              job.Spec().ExpectedRunTime());
  if (command.Action() == WorkerAction::kStart) {
    CheckStart(command);
  }
  mSent.push_back({ command, WorkerOf(member.Worker()), mNow });
}

void
GangSimulation::SendWrite()
{
  if (!mOwner->mWrite) {
    mOwner->mWrite = PendingWrite{ mOwner->mIncarnation,
                                   "w" + std::to_string(++mLastWriteId),
                                   mOwner->mVersion,
                                   *mOwner->mGang.PendingRow() };
  }
  mWrites.push_back(*mOwner->mWrite);
}

bool
GangSimulation::ApplyToTable(const PendingWrite& aWrite)
{
  if (aWrite.mVersion != mRow.mVersion) {
    return false;
  }
  CheckRow(mRow.mJob, aWrite.mJob);
  mRow = { mRow.mVersion + 1, aWrite.mWriteId, aWrite.mJob };
  return true;
}

void
GangSimulation::CheckRow(const Job& aBefore, const Job& aAfter)
{
  if (IsFinal(aBefore.State())) {
    RecordViolation("a row changed after its final state");
  }
  if (aAfter.State() == JobState::kPlaced) {
    if (aAfter.Attempt() <= mLastPlacedAttempt) {
      RecordViolation("an attempt number was used again");
    }
    mLastPlacedAttempt = aAfter.Attempt();
  }
  if (aAfter.State() == JobState::kSucceeded) {
    CheckWorkers();
    for (int i = 0; i < mMembers; ++i) {
      if (!mFinishedMembers.contains({ aAfter.Attempt(), i })) {
        RecordViolation("a job is done although a member did not finish");
      }
    }
  }
}

void
GangSimulation::CheckStart(const WorkerCommand& aCommand)
{
  CheckWorkers();
  for (int i = 0; i < mMembers; ++i) {
    if (!mCommittedMembers.contains({ aCommand.Attempt(), i })) {
      RecordViolation("a member was started before all were committed");
    }
  }
  const bool recorded = mRow.mJob.Attempt() == aCommand.Attempt() &&
                        mRow.mJob.State() != JobState::kPlaced;
  if (mRow.mJob.Attempt() <= aCommand.Attempt() && !recorded) {
    RecordViolation("a member was started before the commit was recorded");
  }
}

void
GangSimulation::CheckWorkers()
{
  std::set<std::uint32_t> running;
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    const auto& journal = mWorkers[i].Journal();
    for (; mJournalRead[i] < journal.size(); ++mJournalRead[i]) {
      const auto& entry = journal[mJournalRead[i]];
      if (entry.mEvent == "commit") {
        mCommittedMembers.insert({ entry.mAttempt, entry.mMember });
      } else if (entry.mEvent == "finish") {
        mFinishedMembers.insert({ entry.mAttempt, entry.mMember });
      } else if (entry.mEvent == "start") {
        mEverStarted = true;
      }
    }
    for (const auto& [key, task] : mWorkers[i].Tasks()) {
      if (task.mState == MemberState::kRunning) {
        running.insert(task.mAttempt);
      }
    }
  }
  if (running.size() > 1) {
    RecordViolation("two attempts run at the same time");
  }
}

void
GangSimulation::RecordViolation(const std::string& aRule)
{
  if (mViolation.empty()) {
    mViolation = aRule;
  }
}

std::size_t
GangSimulation::WorkerOf(const VmId& aWorker) const
{
  return std::stoul(aWorker.Text().substr(std::string("worker-").size()));
}

} // namespace cornelrudder::tests
