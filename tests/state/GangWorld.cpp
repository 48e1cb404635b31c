#include "GangWorld.h"

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

/** Long enough that most schedules interrupt it. */
constexpr std::chrono::seconds kWork{ 12 };

JobSpec
Spec(int aMembers)
{
  return { JobId("job-1"),
           OrganisationId("acme"),
           TeamId("night"),
           ClassName("nest"),
           Shape(aMembers, 4, Adjacency::kRegion),
           "",
           kWork };
}

} // namespace

GangMachine
RealMachine()
{
  return [](const Gang& aGang, const GangEvent& aEvent) {
    return aGang.Handle(aEvent);
  };
}

const std::vector<GangWorld::Action> GangWorld::kActions{
  { 30, &GangWorld::Deliver },      { 5, &GangWorld::LoseCommand },
  { 4, &GangWorld::LoseReport },    { 30, &GangWorld::DeliverReport },
  { 20, &GangWorld::ApplyWrite },   { 3, &GangWorld::ApplyWriteSilently },
  { 3, &GangWorld::DelayWrite },    { 6, &GangWorld::ReadRow },
  { 14, &GangWorld::PassTime },     { 3, &GangWorld::CrashWorker },
  { 1, &GangWorld::ToggleFailAll }, { 4, &GangWorld::CutWorker },
  { 2, &GangWorld::CrashOwner },    { 3, &GangWorld::TakeOver },
  { 1, &GangWorld::LoseLease },     { 1, &GangWorld::Cancel },
  { 2, &GangWorld::Preempt },       { 12, &GangWorld::Place },
  { 12, &GangWorld::Flow },
};

GangWorld::GangWorld(GangMachine aMachine, int aMembers, bool aIdempotent)
  : mMachine(std::move(aMachine))
  , mMembers(aMembers)
  , mIdempotent(aIdempotent)
  , mRow{ 0, "", Job::Queued(Spec(aMembers)) }
  , mWorkers(static_cast<std::size_t>(aMembers) + kSpareWorkers,
             WorkerModel(kAccelerators))
  , mRead(mWorkers.size(), 0)
{
  GangStep step =
    Gang::Submit(Spec(aMembers), mLastEpoch, aIdempotent, kTiming);
  mOwner = Owner{ ++mLastLife, mLastEpoch, step.mNext, 0, std::nullopt };
  Take(std::move(step));
}

void
GangWorld::Step(std::uint16_t aChoice)
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
GangWorld::Settle()
{
  for (WorkerModel& worker : mWorkers) {
    worker.SetFailAll(false);
  }
  mCut.clear();
  for (int i = 0; i < 400; ++i) {
    if (!mOwner || mOwner->mGang.Phase() == GangPhase::kSuperseded ||
        mOwner->mGang.Phase() == GangPhase::kOrphaned) {
      mOwner.reset();
      TakeOver(0);
    }
    Flow(0);
    PassTime(2);
    Place(static_cast<std::size_t>(i));
    CheckWorkers();
  }
  if (!IsFinal(mRow.mJob.State())) {
    Fail("a job never ends; it stays in state " +
         std::string(JobStateName(mRow.mJob.State())));
  }
  for (const WorkerModel& worker : mWorkers) {
    for (const auto& [key, task] : worker.Tasks()) {
      if (task.mState == MemberState::kRunning) {
        Fail("a member runs although its leases have run out");
      }
    }
  }
  const Job& job = mRow.mJob;
  if (IsFinal(job.State()) && job.HasRun() == WasRun::kNo && mEverStarted) {
    Fail("a job that started is reported as not run");
  }
}

void
GangWorld::Deliver(std::size_t aIndex)
{
  if (mSent.empty()) {
    return;
  }
  const auto it =
    mSent.begin() + static_cast<std::ptrdiff_t>(aIndex % mSent.size());
  const Sent sent = *it;
  mSent.erase(it);
  // The client gives a command up after its timeout.
  const bool late = mNow - sent.mAt >= kTiming.mMaxCommandDelay;
  if (late || mCut.contains(sent.mWorker)) {
    mReported.push_back(
      { sent.mCommand,
        { WorkerReplyStatus::kUnreachable, MemberState::kUnknown, false } });
    return;
  }
  mReported.push_back(
    { sent.mCommand, mWorkers[sent.mWorker].Handle(sent.mCommand, mNow) });
}

void
GangWorld::LoseCommand(std::size_t aIndex)
{
  if (mSent.empty()) {
    return;
  }
  const auto it =
    mSent.begin() + static_cast<std::ptrdiff_t>(aIndex % mSent.size());
  mReported.push_back(
    { it->mCommand,
      { WorkerReplyStatus::kUnreachable, MemberState::kUnknown, false } });
  mSent.erase(it);
}

void
GangWorld::LoseReport(std::size_t aIndex)
{
  if (mReported.empty()) {
    return;
  }
  Reported& reported = mReported[aIndex % mReported.size()];
  reported.mReport = { WorkerReplyStatus::kUnreachable,
                       MemberState::kUnknown,
                       false };
}

void
GangWorld::DeliverReport(std::size_t aIndex)
{
  if (mReported.empty()) {
    return;
  }
  const auto it =
    mReported.begin() + static_cast<std::ptrdiff_t>(aIndex % mReported.size());
  const Reported reported = *it;
  mReported.erase(it);
  const WorkerCommand& command = reported.mCommand;
  if (!mOwner || mOwner->mEpoch != command.Epoch()) {
    return;
  }
  if (const auto kind = ToGangEvent(command.Action(), reported.mReport)) {
    Feed(GangEvent::ForMember(*kind,
                              command.Attempt(),
                              static_cast<std::size_t>(command.Member()),
                              mNow));
  }
}

void
GangWorld::ApplyWrite(std::size_t aIndex)
{
  if (mWrites.empty()) {
    return;
  }
  const auto it =
    mWrites.begin() + static_cast<std::ptrdiff_t>(aIndex % mWrites.size());
  const PendingWrite write = *it;
  mWrites.erase(it);
  const bool applied = Apply(write) || mRow.mWriteId == write.mWriteId;
  const bool current = mOwner && mOwner->mLife == write.mLife &&
                       mOwner->mWrite &&
                       mOwner->mWrite->mWriteId == write.mWriteId;
  if (!current) {
    return;
  }
  if (applied) {
    mOwner->mVersion = mRow.mVersion;
    mOwner->mWrite.reset();
    mOwner->mMustRead = false;
  }
  Feed(GangEvent::ForGang(
    applied ? GangEventKind::kRowWritten : GangEventKind::kRowConflict, mNow));
}

void
GangWorld::ApplyWriteSilently(std::size_t aIndex)
{
  if (mWrites.empty()) {
    return;
  }
  const auto it =
    mWrites.begin() + static_cast<std::ptrdiff_t>(aIndex % mWrites.size());
  const PendingWrite write = *it;
  mWrites.erase(it);
  Apply(write);
  if (mOwner && mOwner->mLife == write.mLife) {
    Feed(GangEvent::ForGang(GangEventKind::kRowWriteUnknown, mNow));
  }
}

void
GangWorld::DelayWrite(std::size_t aIndex)
{
  // The answer is given up, but the write may still take effect later.
  if (!mWrites.empty() && mOwner &&
      mOwner->mLife == mWrites[aIndex % mWrites.size()].mLife) {
    Feed(GangEvent::ForGang(GangEventKind::kRowWriteUnknown, mNow));
  }
}

void
GangWorld::ReadRow(std::size_t /*aIndex*/)
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
  Feed(GangEvent::ForGang(kind, mNow));
}

void
GangWorld::PassTime(std::size_t aIndex)
{
  mNow += milliseconds(250) * static_cast<int>(1 + aIndex % 4);
  for (WorkerModel& worker : mWorkers) {
    worker.Advance(mNow);
  }
  if (mOwner) {
    Feed(GangEvent::ForGang(GangEventKind::kTick, mNow));
  }
}

void
GangWorld::CrashWorker(std::size_t aIndex)
{
  CheckWorkers();
  const std::size_t i = aIndex % mWorkers.size();
  mWorkers[i] = WorkerModel(kAccelerators);
  mRead[i] = 0;
}

void
GangWorld::ToggleFailAll(std::size_t aIndex)
{
  mWorkers[aIndex % mWorkers.size()].SetFailAll((aIndex / 8) % 2 == 0);
}

void
GangWorld::CutWorker(std::size_t aIndex)
{
  const std::size_t i = aIndex % mWorkers.size();
  if (mCut.erase(i) == 0) {
    mCut.insert(i);
  }
}

void
GangWorld::CrashOwner(std::size_t /*aIndex*/)
{
  mOwner.reset();
}

void
GangWorld::TakeOver(std::size_t /*aIndex*/)
{
  // A job whose row was never written was never accepted.
  if (mRow.mVersion == 0) {
    if (!mOwner) {
      GangStep step =
        Gang::Submit(Spec(mMembers), ++mLastEpoch, mIdempotent, kTiming);
      mOwner = Owner{ ++mLastLife, mLastEpoch, step.mNext, 0, std::nullopt };
      Take(std::move(step));
    }
    return;
  }
  GangStep step =
    Gang::Adopt(mRow.mJob, ++mLastEpoch, mIdempotent, kTiming, mNow);
  mOwner =
    Owner{ ++mLastLife, mLastEpoch, step.mNext, mRow.mVersion, std::nullopt };
  Take(std::move(step));
}

void
GangWorld::LoseLease(std::size_t /*aIndex*/)
{
  if (mOwner) {
    Feed(GangEvent::ForGang(GangEventKind::kDomainLeaseLost, mNow));
  }
}

void
GangWorld::Cancel(std::size_t aIndex)
{
  // Rare, since few schedules would get to any other end otherwise.
  if (mOwner && aIndex % 8 == 0) {
    Feed(GangEvent::ForGang(GangEventKind::kCancel, mNow));
  }
}

void
GangWorld::Preempt(std::size_t /*aIndex*/)
{
  if (mOwner) {
    Feed(GangEvent::ForGang(GangEventKind::kPreempt, mNow));
  }
}

void
GangWorld::Place(std::size_t aIndex)
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
  Feed(GangEvent::Place(GangPlacement(std::move(members)), mNow));
}

/** Lets everything arrive, so that much can happen within one lease. */
void
GangWorld::Flow(std::size_t /*aIndex*/)
{
  for (int i = 0; i < 20; ++i) {
    Deliver(0);
    DeliverReport(0);
    ApplyWrite(0);
    ReadRow(0);
  }
}

void
GangWorld::Feed(const GangEvent& aEvent)
{
  Take(mMachine(mOwner->mGang, aEvent));
}

void
GangWorld::Take(GangStep aStep)
{
  mOwner->mGang = aStep.mNext;
  for (const GangCommand& command : aStep.mCommands) {
    Run(command);
  }
}

void
GangWorld::Run(const GangCommand& aCommand)
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
GangWorld::SendWrite()
{
  if (!mOwner->mWrite) {
    mOwner->mWrite = PendingWrite{ mOwner->mLife,
                                   "w" + std::to_string(++mLastWriteId),
                                   mOwner->mVersion,
                                   *mOwner->mGang.PendingRow() };
  }
  mWrites.push_back(*mOwner->mWrite);
}

bool
GangWorld::Apply(const PendingWrite& aWrite)
{
  if (aWrite.mVersion != mRow.mVersion) {
    return false;
  }
  CheckRow(mRow.mJob, aWrite.mJob);
  mRow = { mRow.mVersion + 1, aWrite.mWriteId, aWrite.mJob };
  return true;
}

void
GangWorld::CheckRow(const Job& aBefore, const Job& aAfter)
{
  if (IsFinal(aBefore.State())) {
    Fail("a row changed after its final state");
  }
  if (aAfter.State() == JobState::kPlaced) {
    if (aAfter.Attempt() <= mLastPlaced) {
      Fail("an attempt number was used again");
    }
    mLastPlaced = aAfter.Attempt();
  }
  if (aAfter.State() == JobState::kSucceeded) {
    CheckWorkers();
    for (int i = 0; i < mMembers; ++i) {
      if (!mFinished.contains({ aAfter.Attempt(), i })) {
        Fail("a job is done although a member did not finish");
      }
    }
  }
}

void
GangWorld::CheckStart(const WorkerCommand& aCommand)
{
  CheckWorkers();
  for (int i = 0; i < mMembers; ++i) {
    if (!mCommitted.contains({ aCommand.Attempt(), i })) {
      Fail("a member was started before all were committed");
    }
  }
  const bool recorded = mRow.mJob.Attempt() == aCommand.Attempt() &&
                        mRow.mJob.State() != JobState::kPlaced;
  if (mRow.mJob.Attempt() <= aCommand.Attempt() && !recorded) {
    Fail("a member was started before the commit was recorded");
  }
}

void
GangWorld::CheckWorkers()
{
  std::set<std::uint32_t> running;
  for (std::size_t i = 0; i < mWorkers.size(); ++i) {
    const auto& journal = mWorkers[i].Journal();
    for (; mRead[i] < journal.size(); ++mRead[i]) {
      const auto& entry = journal[mRead[i]];
      if (entry.mEvent == "commit") {
        mCommitted.insert({ entry.mAttempt, entry.mMember });
      } else if (entry.mEvent == "finish") {
        mFinished.insert({ entry.mAttempt, entry.mMember });
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
    Fail("two attempts run at the same time");
  }
}

void
GangWorld::Fail(const std::string& aRule)
{
  if (mViolation.empty()) {
    mViolation = aRule;
  }
}

std::size_t
GangWorld::WorkerOf(const VmId& aWorker) const
{
  return std::stoul(aWorker.Text().substr(std::string("worker-").size()));
}

} // namespace cornelrudder::tests
