#include "cornelrudder/state/Intent.h"
#include "cornelrudder/state/StateError.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

using namespace cornelrudder::state;

namespace {

constexpr int kDaemons = 3;
constexpr int kKeys = 2;
constexpr int kBodies = 2;
constexpr std::size_t kSteps = 250;

/** The decision after a claim; wrong ones must be noticed. */
using ClaimJudge = IntentAction (*)(const Intent&,
                                    std::uint64_t,
                                    StoreStatus,
                                    const std::optional<VersionedIntent>&);

/** Dispatches although the outcome of the claim is unknown. */
IntentAction
DispatchOnUnknown(const Intent& aClaim,
                  std::uint64_t aVersion,
                  StoreStatus aStatus,
                  const std::optional<VersionedIntent>& aFound)
{
  return aStatus == StoreStatus::kOutcomeUnknown
           ? IntentAction::Dispatch()
           : DecideAfterClaim(aClaim, aVersion, aStatus, aFound);
}

/** Takes over a row that another daemon has dispatched. */
IntentAction
TakeOverDispatched(const Intent& aClaim,
                   std::uint64_t aVersion,
                   StoreStatus aStatus,
                   const std::optional<VersionedIntent>& aFound)
{
  const bool isDispatched =
    aStatus == StoreStatus::kConflict && aFound &&
    aFound->mIntent.State() == IntentState::kDispatched &&
    aFound->mIntent.Digest() == aClaim.Digest();
  return isDispatched ? IntentAction::Claim(aFound->mVersion)
                      : DecideAfterClaim(aClaim, aVersion, aStatus, aFound);
}

/** Ignores the digest, so that another body gets this body's answer. */
IntentAction
IgnoreDigest(const Intent& aClaim,
             std::uint64_t aVersion,
             StoreStatus aStatus,
             const std::optional<VersionedIntent>& aFound)
{
  const Intent claim(aFound ? aFound->mIntent.Digest() : aClaim.Digest(),
                     aClaim.Owner(),
                     aClaim.Attempt(),
                     aClaim.State(),
                     std::nullopt);
  return DecideAfterClaim(claim, aVersion, aStatus, aFound);
}

enum class StepKind
{
  /** A caller sends a request. */
  kSubmit,
  /** A write reaches the table. */
  kArrive,
  /** A daemon gets the true result of one of its writes. */
  kDeliver,
  /** A daemon gives up on a write, which may still arrive. */
  kGiveUp,
  /** A write is refused before it is sent. */
  kNotSent,
  /** A dispatched request starts on a runner, or ends there. */
  kStart,
  kEnd,
  /** A dispatched request is refused before it starts. */
  kNotStarted,
  /** The connection to the runner breaks. */
  kBreak,
  kCrash
};

struct Step
{
  StepKind mKind;
  int mDaemon;
  int mAmount;
};

std::ostream&
operator<<(std::ostream& aStream, const Step& aStep)
{
  return aStream << static_cast<int>(aStep.mKind) << "/" << aStep.mDaemon << "/"
                 << aStep.mAmount;
}

rc::Gen<std::vector<Step>>
Steps()
{
  const auto kind =
    rc::gen::weightedElement<StepKind>({ { 6, StepKind::kSubmit },
                                         { 10, StepKind::kArrive },
                                         { 10, StepKind::kDeliver },
                                         { 2, StepKind::kGiveUp },
                                         { 1, StepKind::kNotSent },
                                         { 4, StepKind::kStart },
                                         { 4, StepKind::kEnd },
                                         { 2, StepKind::kNotStarted },
                                         { 1, StepKind::kBreak },
                                         { 1, StepKind::kCrash } });
  return rc::gen::container<std::vector<Step>>(
    kSteps,
    rc::gen::construct<Step>(
      kind, rc::gen::inRange(0, kDaemons), rc::gen::inRange(0, 1'000)));
}

/** A request of a caller on its way through one daemon. */
struct Call
{
  int mDaemon;
  std::string mLife;
  std::string mKey;
  std::string mDigest;
  std::string mAttempt = {};
  std::uint64_t mVersion = 0;
  /** Whether the caller has been told an outcome. */
  bool mIsOver = false;
};

struct Write
{
  std::size_t mCall;
  std::string mLife;
  std::string mKey;
  std::uint64_t mExpected;
  Intent mIntent;
  /** Whether it ends an attempt; otherwise it claims the row. */
  bool mEnds;
  bool mArrived = false;
  bool mWritten = false;
  std::optional<VersionedIntent> mFound = std::nullopt;
};

struct Dispatch
{
  std::size_t mCall;
  Intent mIntent;
  bool mStarted = false;
  bool mNotStarted = false;
  /** Whether the daemon has learnt what became of it. */
  bool mIsOver = false;
};

/**
 * Daemons, one table and runners. A write arrives at any time after it was
 * sent or never, also after its sender gave up or crashed.
 */
class World
{
public:
  explicit World(ClaimJudge aJudge)
    : mJudge(aJudge)
  {
    for (int i = 0; i < kDaemons; ++i) {
      mLives.push_back("life-" + std::to_string(i));
    }
  }

  void Take(const Step& aStep)
  {
    const auto n = static_cast<std::size_t>(aStep.mAmount);
    switch (aStep.mKind) {
      case StepKind::kSubmit:
        Submit(aStep.mDaemon, aStep.mAmount);
        break;
      case StepKind::kArrive:
        Arrive(n);
        break;
      case StepKind::kDeliver:
        Deliver(n);
        break;
      case StepKind::kGiveUp:
        Resolve(n, StoreStatus::kOutcomeUnknown);
        break;
      case StepKind::kNotSent:
        NotSent(n);
        break;
      case StepKind::kStart:
        Start(n);
        break;
      case StepKind::kEnd:
        End(n);
        break;
      case StepKind::kNotStarted:
        NotStarted(n);
        break;
      case StepKind::kBreak:
        Break(n);
        break;
      case StepKind::kCrash:
        mLives[aStep.mDaemon] += "+";
        break;
    }
  }

  /** Empty while every promise is kept. */
  const std::string& Fault() const { return mFault; }
  int Replays() const { return mReplays; }
  int Repeats() const { return mRepeats; }

private:
  bool IsAlive(std::size_t aCall) const
  {
    const Call& call = mCalls[aCall];
    return mLives[call.mDaemon] == call.mLife;
  }

  void Submit(int aDaemon, int aAmount)
  {
    const std::string key = "key-" + std::to_string(aAmount % kKeys);
    const std::string digest =
      "body-" + std::to_string(aAmount % 7 == 0 ? aAmount % kBodies : 0);
    // A daemon runs one request per key at a time.
    for (const Call& call : mCalls) {
      if (call.mLife == mLives[aDaemon] && call.mKey == key && !call.mIsOver) {
        return;
      }
    }
    mCalls.push_back({ aDaemon, mLives[aDaemon], key, digest });
    Claim(mCalls.size() - 1, 0);
  }

  void Claim(std::size_t aCall, std::uint64_t aVersion)
  {
    Call& call = mCalls[aCall];
    call.mAttempt = "attempt-" + std::to_string(++mAttempts);
    call.mVersion = aVersion;
    Send(aCall,
         aVersion,
         Intent(call.mDigest,
                call.mLife,
                call.mAttempt,
                IntentState::kDispatched,
                std::nullopt),
         false);
  }

  void Send(std::size_t aCall,
            std::uint64_t aExpected,
            const Intent& aIntent,
            bool aEnds)
  {
    const Call& call = mCalls[aCall];
    mWrites.push_back(
      { aCall, call.mLife, call.mKey, aExpected, aIntent, aEnds });
  }

  void Arrive(std::size_t aIndex)
  {
    std::vector<Write*> waiting;
    for (Write& write : mWrites) {
      if (!write.mArrived) {
        waiting.push_back(&write);
      }
    }
    for (Write& write : mLate) {
      if (!write.mArrived) {
        waiting.push_back(&write);
      }
    }
    if (waiting.empty()) {
      return;
    }
    Write& write = *waiting[aIndex % waiting.size()];
    write.mArrived = true;
    const auto it = mTable.find(write.mKey);
    const std::uint64_t version = it != mTable.end() ? it->second.mVersion : 0;
    if (version == write.mExpected) {
      write.mWritten = true;
      mTable.insert_or_assign(write.mKey,
                              VersionedIntent{ write.mIntent, version + 1 });
    } else if (it != mTable.end()) {
      write.mFound = it->second;
    }
  }

  void Deliver(std::size_t aIndex)
  {
    for (std::size_t i = 0; i < mWrites.size(); ++i) {
      const std::size_t n = (aIndex + i) % mWrites.size();
      if (mWrites[n].mArrived) {
        Resolve(
          n, mWrites[n].mWritten ? StoreStatus::kOk : StoreStatus::kConflict);
        return;
      }
    }
  }

  void NotSent(std::size_t aIndex)
  {
    if (mWrites.empty()) {
      return;
    }
    const std::size_t n = aIndex % mWrites.size();
    if (!mWrites[n].mArrived) {
      mWrites[n].mArrived = true;
      Resolve(n, StoreStatus::kUnavailable);
    }
  }

  /** A daemon learns what became of a write, or gives up on it. */
  void Resolve(std::size_t aIndex, StoreStatus aStatus)
  {
    if (mWrites.empty()) {
      return;
    }
    const auto it =
      mWrites.begin() + static_cast<long>(aIndex % mWrites.size());
    const Write write = *it;
    mWrites.erase(it);
    if (!write.mArrived) {
      mLate.push_back(write);
    }
    if (!IsAlive(write.mCall)) {
      return;
    }
    if (write.mEnds) {
      ResolveEnd(write, aStatus);
    } else {
      ResolveClaim(write, aStatus);
    }
  }

  /**
   * The row that the store returns with a result. After an unknown outcome it
   * is one that has moved on, as read when the sender gave up; a row with the
   * own write id would have made the result kOk.
   */
  std::optional<VersionedIntent> FoundAfter(const Write& aWrite,
                                            StoreStatus aStatus) const
  {
    if (aStatus != StoreStatus::kOutcomeUnknown) {
      return aWrite.mFound;
    }
    const auto it = mTable.find(aWrite.mKey);
    const bool isReturned =
      it != mTable.end() && it->second.mVersion > aWrite.mExpected &&
      it->second.mIntent.Attempt() != aWrite.mIntent.Attempt();
    return isReturned ? std::optional(it->second) : std::nullopt;
  }

  void ResolveClaim(const Write& aWrite, StoreStatus aStatus)
  {
    const IntentAction step = mJudge(
      aWrite.mIntent, aWrite.mExpected, aStatus, FoundAfter(aWrite, aStatus));
    switch (step.Type()) {
      case IntentAction::Kind::kDispatch:
        mDispatches.push_back({ aWrite.mCall, aWrite.mIntent });
        break;
      case IntentAction::Kind::kClaim:
        ++mRepeats;
        Claim(aWrite.mCall, step.Version());
        break;
      case IntentAction::Kind::kAnswer:
        Tell(aWrite.mCall, *step.Outcome());
        break;
      case IntentAction::Kind::kAnswerAndRevoke:
        Tell(aWrite.mCall, *step.Outcome());
        Send(aWrite.mCall, aWrite.mExpected, aWrite.mIntent.AsNotRun(), true);
        break;
    }
  }

  void ResolveEnd(const Write& aWrite, StoreStatus aStatus)
  {
    if (aStatus == StoreStatus::kConflict) {
      const bool again =
        aWrite.mFound &&
        MustRetryFinalWrite(aWrite.mFound->mIntent, aWrite.mIntent.Attempt());
      if (again) {
        Send(aWrite.mCall, aWrite.mFound->mVersion, aWrite.mIntent, true);
      }
    } else if (aStatus != StoreStatus::kOk) {
      Send(aWrite.mCall, aWrite.mExpected, aWrite.mIntent, true);
    }
  }

  Dispatch* FindDispatch(std::size_t aIndex, bool aStarted)
  {
    std::vector<Dispatch*> found;
    for (Dispatch& dispatch : mDispatches) {
      if (dispatch.mStarted == aStarted && !dispatch.mNotStarted &&
          !dispatch.mIsOver) {
        found.push_back(&dispatch);
      }
    }
    return found.empty() ? nullptr : found[aIndex % found.size()];
  }

  void Start(std::size_t aIndex)
  {
    if (Dispatch* dispatch = FindDispatch(aIndex, false)) {
      dispatch->mStarted = true;
      const Call& call = mCalls[dispatch->mCall];
      if (++mRuns[call.mKey] > 1) {
        mFault = "key " + call.mKey + " ran twice";
      }
      if (mToldNotRun.contains(dispatch->mCall)) {
        mFault = "a request ran after its caller was told that it did not";
      }
    }
  }

  void End(std::size_t aIndex)
  {
    if (Dispatch* dispatch = FindDispatch(aIndex, true)) {
      dispatch->mIsOver = true;
      FinishRun(*dispatch,
                RunOutcome::Answered(mCalls[dispatch->mCall].mDigest));
    }
  }

  void NotStarted(std::size_t aIndex)
  {
    if (Dispatch* dispatch = FindDispatch(aIndex, false)) {
      dispatch->mNotStarted = true;
      FinishRun(*dispatch,
                RunOutcome::Failed(FailureReason::kNoCapacity,
                                   WasRun::kNo,
                                   std::chrono::milliseconds(1),
                                   ""));
    }
  }

  /** The daemon learns nothing; the request may still start. */
  void Break(std::size_t aIndex)
  {
    if (Dispatch* dispatch = FindDispatch(aIndex, aIndex % 2 == 0)) {
      FinishRun(*dispatch,
                RunOutcome::Failed(FailureReason::kEndpointFailed,
                                   WasRun::kUnknown,
                                   std::chrono::milliseconds(1),
                                   ""));
    }
  }

  void FinishRun(const Dispatch& aDispatch, const RunOutcome& aOutcome)
  {
    const Call& call = mCalls[aDispatch.mCall];
    if (!IsAlive(aDispatch.mCall) || call.mIsOver) {
      return;
    }
    Tell(aDispatch.mCall, aOutcome);
    if (const auto intent = aDispatch.mIntent.WithOutcome(aOutcome)) {
      Send(aDispatch.mCall, call.mVersion + 1, *intent, true);
    }
  }

  void Tell(std::size_t aCall, const RunOutcome& aOutcome)
  {
    Call& call = mCalls[aCall];
    call.mIsOver = true;
    if (aOutcome.IsAnswer()) {
      ++mReplays;
      if (aOutcome.Text() != call.mDigest || mRuns[call.mKey] == 0) {
        mFault = "a caller got an answer that is not its own";
      }
    } else if (aOutcome.HasRun() == WasRun::kNo) {
      mToldNotRun.insert(aCall);
      for (const Dispatch& dispatch : mDispatches) {
        if (dispatch.mCall == aCall && dispatch.mStarted) {
          mFault = "a caller was told that its request did not run";
        }
      }
    }
  }

  ClaimJudge mJudge;
  std::vector<std::string> mLives;
  std::vector<Call> mCalls;
  std::vector<Write> mWrites;
  /** Writes whose sender has given up. */
  std::vector<Write> mLate;
  std::vector<Dispatch> mDispatches;
  std::map<std::string, VersionedIntent> mTable;
  std::map<std::string, int> mRuns;
  std::set<std::size_t> mToldNotRun;
  int mAttempts = 0;
  int mReplays = 0;
  int mRepeats = 0;
  std::string mFault;
};

std::string
FaultOf(ClaimJudge aJudge, const std::vector<Step>& aSteps)
{
  World world(aJudge);
  for (const Step& step : aSteps) {
    world.Take(step);
    if (!world.Fault().empty()) {
      return world.Fault();
    }
  }
  return "";
}

std::string
FirstFault(ClaimJudge aJudge)
{
  const auto steps = Steps();
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    const std::string fault =
      FaultOf(aJudge, steps(rc::Random(seed), 100).value());
    if (!fault.empty()) {
      return fault;
    }
  }
  return "";
}

RunRequest
Request(const std::string& aTeam,
        const std::string& aClass,
        const std::string& aBody)
{
  return { RequestId("r1"),
           OrganisationId("acme"),
           TeamId(aTeam),
           ClassName(aClass),
           "k1",
           aBody,
           std::chrono::milliseconds(0) };
}

} // namespace

TEST_GROUP(Intent){};

// Guards against a second run of a key, an answer of another request, and a
// "not run" that is not true.
TEST(Intent, AtMostOneRunPerKey)
{
  int replays = 0;
  int repeats = 0;
  CHECK(rc::check("at most one run per key", [&] {
    for (int i = 0; i < 10; ++i) {
      const auto steps = *Steps();
      const std::string fault = FaultOf(DecideAfterClaim, steps);
      RC_ASSERT(fault.empty());
      World world(DecideAfterClaim);
      for (const Step& step : steps) {
        world.Take(step);
      }
      replays += world.Replays();
      repeats += world.Repeats();
    }
  }));
  // Histories without answers and new attempts would prove nothing.
  CHECK(replays > 1'000);
  CHECK(repeats > 1'000);
}

// Guards against a history check that accepts everything.
TEST(Intent, CheckRejectsWrongDecisions)
{
  CHECK(!FirstFault(DispatchOnUnknown).empty());
  CHECK(!FirstFault(TakeOverDispatched).empty());
  CHECK(!FirstFault(IgnoreDigest).empty());
  STRCMP_EQUAL("", FirstFault(DecideAfterClaim).c_str());
}

// Guards against taking another request under the same key for a repeat.
TEST(Intent, DigestCoversTeamClassAndBody)
{
  const std::string digest = RequestDigest(Request("t", "c", "body"));
  LONGS_EQUAL(32, digest.size());
  CHECK(digest == RequestDigest(Request("t", "c", "body")));
  CHECK(digest != RequestDigest(Request("u", "c", "body")));
  CHECK(digest != RequestDigest(Request("t", "d", "body")));
  CHECK(digest != RequestDigest(Request("t", "c", "bodY")));
  STRCMP_EQUAL("intent/acme/k1", IntentRowKey(Request("t", "c", "")).c_str());
}

// Guards against rows of unbounded size, and against running a request again
// because its answer was too long to keep.
TEST(Intent, LongAnswerIsNotKeptButCountsAsRun)
{
  const Intent intent("d", "life", "a", IntentState::kDispatched, std::nullopt);
  const auto done = intent.WithOutcome(
    RunOutcome::Answered(std::string(Intent::kMaxAnswerBytes + 1, 'x')));
  CHECK(done->State() == IntentState::kDone);
  CHECK_FALSE(done->Answer().has_value());
  const IntentAction step = DecideAfterRepeat({ *done, 2 }, "d");
  CHECK(step.Type() == IntentAction::Kind::kAnswer);
  CHECK(step.Outcome()->Reason() == FailureReason::kAnswerNotKept);
  CHECK(step.Outcome()->HasRun() == WasRun::kYes);
  CHECK_THROWS(StateError,
               Intent("d",
                      "life",
                      "a",
                      IntentState::kDone,
                      std::string(Intent::kMaxAnswerBytes + 1, 'x')));
  CHECK_THROWS(StateError, Intent("d", "life", "a", IntentState::kNotRun, "x"));
}
