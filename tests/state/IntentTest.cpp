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

/** Type of DecideAfterClaim() and of the wrong variants below. */
using ClaimDecision = IntentAction (*)(const Intent&,
                                       std::uint64_t,
                                       StoreStatus,
                                       const std::optional<VersionedIntent>&);

/** Wrong: dispatches although the outcome of the claim is unknown. */
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

/** Wrong: claims a row in state kDispatched of another attempt. */
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

/** Wrong: ignores the digest, so that a response is replayed for another body.
 */
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
  /** A daemon receives the result of one of its writes. */
  kDeliver,
  /** A write times out at its daemon and may still arrive. */
  kTimeOut,
  /** A write fails before it is sent. */
  kNotSent,
  /** A dispatched request starts on a runner. */
  kStart,
  /** A started request completes. */
  kFinish,
  /** A runner rejects a dispatched request before it starts. */
  kNotStarted,
  /** The connection to the runner fails. */
  kDisconnect,
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
                                         { 2, StepKind::kTimeOut },
                                         { 1, StepKind::kNotSent },
                                         { 4, StepKind::kStart },
                                         { 4, StepKind::kFinish },
                                         { 2, StepKind::kNotStarted },
                                         { 1, StepKind::kDisconnect },
                                         { 1, StepKind::kCrash } });
  return rc::gen::container<std::vector<Step>>(
    kSteps,
    rc::gen::construct<Step>(
      kind, rc::gen::inRange(0, kDaemons), rc::gen::inRange(0, 1'000)));
}

/** A request that one daemon processes for a caller. */
struct Call
{
  int mDaemon;
  std::string mIncarnation;
  std::string mKey;
  std::string mDigest;
  std::string mAttempt = {};
  std::uint64_t mVersion = 0;
  /** Whether the caller has received an outcome. */
  bool mIsFinished = false;
};

struct Write
{
  std::size_t mCall;
  std::string mIncarnation;
  std::string mKey;
  std::uint64_t mExpected;
  Intent mIntent;
  /** Whether the write records or revokes an attempt; otherwise it claims. */
  bool mIsFinal;
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
  /** Whether the request completed on its runner. */
  bool mIsFinished = false;
};

/**
 * Daemons, one table and runners. A write arrives at any time after it was
 * sent or never, also after it timed out or its sender crashed.
 */
class Simulation
{
public:
  explicit Simulation(ClaimDecision aDecideAfterClaim)
    : mDecideAfterClaim(aDecideAfterClaim)
  {
    for (int i = 0; i < kDaemons; ++i) {
      mIncarnations.push_back("incarnation-" + std::to_string(i));
    }
  }

  void Apply(const Step& aStep)
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
      case StepKind::kTimeOut:
        Resolve(n, StoreStatus::kOutcomeUnknown);
        break;
      case StepKind::kNotSent:
        NotSent(n);
        break;
      case StepKind::kStart:
        Start(n);
        break;
      case StepKind::kFinish:
        Finish(n);
        break;
      case StepKind::kNotStarted:
        NotStarted(n);
        break;
      case StepKind::kDisconnect:
        Disconnect(n);
        break;
      case StepKind::kCrash:
        mIncarnations[aStep.mDaemon] += "+";
        break;
    }
  }

  /** The last violated property; empty if there is none. */
  const std::string& Violation() const { return mViolation; }
  int Replays() const { return mReplays; }
  int Repeats() const { return mRepeats; }

private:
  bool IsAlive(std::size_t aCall) const
  {
    const Call& call = mCalls[aCall];
    return mIncarnations[call.mDaemon] == call.mIncarnation;
  }

  void Submit(int aDaemon, int aAmount)
  {
    const std::string key = "key-" + std::to_string(aAmount % kKeys);
    const std::string digest =
      "body-" + std::to_string(aAmount % 7 == 0 ? aAmount % kBodies : 0);
    // A daemon runs one request per key at a time.
    for (const Call& call : mCalls) {
      if (call.mIncarnation == mIncarnations[aDaemon] && call.mKey == key &&
          !call.mIsFinished) {
        return;
      }
    }
    mCalls.push_back({ aDaemon, mIncarnations[aDaemon], key, digest });
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
                call.mIncarnation,
                call.mAttempt,
                IntentState::kDispatched,
                std::nullopt),
         false);
  }

  void Send(std::size_t aCall,
            std::uint64_t aExpected,
            const Intent& aIntent,
            bool aIsFinal)
  {
    const Call& call = mCalls[aCall];
    mWrites.push_back(
      { aCall, call.mIncarnation, call.mKey, aExpected, aIntent, aIsFinal });
  }

  void Arrive(std::size_t aIndex)
  {
    std::vector<Write*> waiting;
    for (Write& write : mWrites) {
      if (!write.mArrived) {
        waiting.push_back(&write);
      }
    }
    for (Write& write : mTimedOutWrites) {
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

  /** A daemon receives the result of a write, or the write times out. */
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
      mTimedOutWrites.push_back(write);
    }
    if (!IsAlive(write.mCall)) {
      return;
    }
    if (write.mIsFinal) {
      ResolveFinalWrite(write, aStatus);
    } else {
      ResolveClaim(write, aStatus);
    }
  }

  /**
   * The row that the store returns with a result. After an unknown outcome, it
   * is the row as read after the time-out, if another attempt has written it; a
   * row with the write id of this attempt would have made the result kOk.
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
    const IntentAction step = mDecideAfterClaim(
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
        Reply(aWrite.mCall, *step.Outcome());
        break;
      case IntentAction::Kind::kAnswerAndRevoke:
        Reply(aWrite.mCall, *step.Outcome());
        Send(aWrite.mCall, aWrite.mExpected, aWrite.mIntent.AsNotRun(), true);
        break;
    }
  }

  void ResolveFinalWrite(const Write& aWrite, StoreStatus aStatus)
  {
    if (aStatus == StoreStatus::kConflict) {
      const bool mustRetry =
        aWrite.mFound &&
        MustRetryFinalWrite(aWrite.mFound->mIntent, aWrite.mIntent.Attempt());
      if (mustRetry) {
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
          !dispatch.mIsFinished) {
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
        mViolation = "key " + call.mKey + " ran twice";
      }
      if (mReportedNotRun.contains(dispatch->mCall)) {
        mViolation =
          "a request ran after its caller got the outcome \"not run\"";
      }
    }
  }

  void Finish(std::size_t aIndex)
  {
    if (Dispatch* dispatch = FindDispatch(aIndex, true)) {
      dispatch->mIsFinished = true;
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

  /** The daemon gets no result; the request may still start. */
  void Disconnect(std::size_t aIndex)
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
    if (!IsAlive(aDispatch.mCall) || call.mIsFinished) {
      return;
    }
    Reply(aDispatch.mCall, aOutcome);
    if (const auto intent = aDispatch.mIntent.WithOutcome(aOutcome)) {
      Send(aDispatch.mCall, call.mVersion + 1, *intent, true);
    }
  }

  void Reply(std::size_t aCall, const RunOutcome& aOutcome)
  {
    Call& call = mCalls[aCall];
    call.mIsFinished = true;
    if (aOutcome.IsAnswer()) {
      ++mReplays;
      if (aOutcome.Text() != call.mDigest || mRuns[call.mKey] == 0) {
        mViolation = "a caller got the response to another request";
      }
    } else if (aOutcome.HasRun() == WasRun::kNo) {
      mReportedNotRun.insert(aCall);
      for (const Dispatch& dispatch : mDispatches) {
        if (dispatch.mCall == aCall && dispatch.mStarted) {
          mViolation =
            "a caller got \"not run\" for a request that had started";
        }
      }
    }
  }

  ClaimDecision mDecideAfterClaim;
  std::vector<std::string> mIncarnations;
  std::vector<Call> mCalls;
  std::vector<Write> mWrites;
  /** Writes that timed out at their sender before they arrived. */
  std::vector<Write> mTimedOutWrites;
  std::vector<Dispatch> mDispatches;
  std::map<std::string, VersionedIntent> mTable;
  std::map<std::string, int> mRuns;
  std::set<std::size_t> mReportedNotRun;
  int mAttempts = 0;
  int mReplays = 0;
  int mRepeats = 0;
  std::string mViolation;
};

std::string
FindViolation(ClaimDecision aDecideAfterClaim, const std::vector<Step>& aSteps)
{
  Simulation simulation(aDecideAfterClaim);
  for (const Step& step : aSteps) {
    simulation.Apply(step);
    if (!simulation.Violation().empty()) {
      return simulation.Violation();
    }
  }
  return "";
}

std::string
FindViolationInSeeds(ClaimDecision aDecideAfterClaim)
{
  const auto steps = Steps();
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    const std::string violation =
      FindViolation(aDecideAfterClaim, steps(rc::Random(seed), 100).value());
    if (!violation.empty()) {
      return violation;
    }
  }
  return "";
}

RunRequest
MakeRequest(const std::string& aTeam,
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

// Guards against two runs of one key, a replayed response of another request,
// and an outcome "not run" for a request that ran.
TEST(Intent, AtMostOneRunPerKey)
{
  int replays = 0;
  int repeats = 0;
  CHECK(rc::check("at most one run per key", [&] {
    for (int i = 0; i < 10; ++i) {
      const auto steps = *Steps();
      const std::string violation = FindViolation(DecideAfterClaim, steps);
      RC_ASSERT(violation.empty());
      Simulation simulation(DecideAfterClaim);
      for (const Step& step : steps) {
        simulation.Apply(step);
      }
      replays += simulation.Replays();
      repeats += simulation.Repeats();
    }
  }));
  // Without responses and repeated claims, the histories would prove nothing.
  CHECK(replays > 1'000);
  CHECK(repeats > 1'000);
}

// Guards against a history check that accepts wrong decisions.
TEST(Intent, CheckRejectsWrongDecisions)
{
  CHECK(!FindViolationInSeeds(DispatchOnUnknown).empty());
  CHECK(!FindViolationInSeeds(TakeOverDispatched).empty());
  CHECK(!FindViolationInSeeds(IgnoreDigest).empty());
  STRCMP_EQUAL("", FindViolationInSeeds(DecideAfterClaim).c_str());
}

// Guards against treating another request with the same key as a repeat.
TEST(Intent, DigestCoversTeamClassAndBody)
{
  const std::string digest = RequestDigest(MakeRequest("t", "c", "body"));
  LONGS_EQUAL(32, digest.size());
  CHECK(digest == RequestDigest(MakeRequest("t", "c", "body")));
  CHECK(digest != RequestDigest(MakeRequest("u", "c", "body")));
  CHECK(digest != RequestDigest(MakeRequest("t", "d", "body")));
  CHECK(digest != RequestDigest(MakeRequest("t", "c", "bodY")));
  STRCMP_EQUAL("intent/acme/k1",
               IntentRowKey(MakeRequest("t", "c", "")).c_str());
}

// Guards against rows of unbounded size, and against a second run of a request
// whose response was too long to store.
TEST(Intent, LongResponseIsNotStoredButCountsAsRun)
{
  const Intent intent(
    "d", "incarnation", "a", IntentState::kDispatched, std::nullopt);
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
                      "incarnation",
                      "a",
                      IntentState::kDone,
                      std::string(Intent::kMaxAnswerBytes + 1, 'x')));
  CHECK_THROWS(StateError,
               Intent("d", "incarnation", "a", IntentState::kNotRun, "x"));
}
