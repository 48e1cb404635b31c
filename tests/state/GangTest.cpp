#include "GangWorld.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace cornelrudder::state;
using cornelrudder::tests::GangMachine;
using cornelrudder::tests::GangWorld;
using cornelrudder::tests::RealMachine;

namespace {

using Schedule = std::vector<std::uint16_t>;

/** Steps of one schedule; enough for several attempts. */
constexpr int kSteps = 400;

struct Verdict
{
  std::string mViolation;
  JobState mState;
  std::uint32_t mAttempts;
};

Verdict
RunSchedule(const GangMachine& aMachine,
            int aMembers,
            bool aIdempotent,
            const Schedule& aSchedule)
{
  GangWorld world(aMachine, aMembers, aIdempotent);
  for (const std::uint16_t choice : aSchedule) {
    world.Step(choice);
  }
  world.Settle();
  return { world.Violation(), world.Row().State(), world.Row().Attempt() };
}

Schedule
RandomSchedule(std::mt19937& aRandom)
{
  std::uniform_int_distribution<int> choices(0, 65'535);
  Schedule schedule(kSteps);
  std::generate(schedule.begin(), schedule.end(), [&] {
    return static_cast<std::uint16_t>(choices(aRandom));
  });
  return schedule;
}

/** @return Whether the checker finds that a machine breaks this rule. */
bool
Breaks(const std::string& aRule, const GangMachine& aMachine)
{
  std::mt19937 random(20261204);
  for (int i = 0; i < 20'000; ++i) {
    const auto verdict =
      RunSchedule(aMachine, 2 + i % 2, i % 4 < 2, RandomSchedule(random));
    if (verdict.mViolation == aRule) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(Gang){};

// Guards against a gang that runs in part, an attempt number that is used
// again, an outcome recorded twice, and a job that never ends.
TEST(Gang, KeepsItsRulesOverInterleavingsAndTakeovers)
{
  const bool ok = rc::check("gang rules", [](bool aIdempotent) {
    const int members = *rc::gen::inRange(1, 4);
    const auto schedule = *rc::gen::container<Schedule>(
      kSteps, rc::gen::inRange<std::uint16_t>(0, 65'535));
    const auto verdict =
      RunSchedule(RealMachine(), members, aIdempotent, schedule);
    RC_CLASSIFY(verdict.mState == JobState::kSucceeded, "done");
    RC_CLASSIFY(verdict.mAttempts > 1, "several attempts");
    if (!verdict.mViolation.empty()) {
      RC_FAIL(verdict.mViolation);
    }
  });
  CHECK(ok);
}

// Guards against schedules that never get far enough to test anything.
TEST(Gang, SchedulesReachEachOutcome)
{
  std::mt19937 random(20261204);
  std::map<JobState, int> states;
  int repeated = 0;
  for (int i = 0; i < 10'000; ++i) {
    const auto verdict =
      RunSchedule(RealMachine(), 2 + i % 2, i % 4 < 2, RandomSchedule(random));
    STRCMP_EQUAL("", verdict.mViolation.c_str());
    ++states[verdict.mState];
    repeated += verdict.mAttempts > 1 ? 1 : 0;
  }
  CHECK(states[JobState::kSucceeded] > 20);
  CHECK(states[JobState::kCancelled] > 20);
  CHECK(states[JobState::kFailed] > 20);
  CHECK(repeated > 20);
}

// Guards against a checker that accepts a member started after its reserve.
TEST(Gang, CheckerRejectsStartAfterReserve)
{
  CHECK(Breaks("a member was started before all were committed",
               [](const Gang& aGang, const GangEvent& aEvent) {
                 GangStep step = aGang.Handle(aEvent);
                 if (aEvent.Kind() == GangEventKind::kReserved &&
                     step.mNext.Phase() == GangPhase::kReserving) {
                   step.mCommands.push_back(GangCommand::ToWorker(
                     WorkerAction::kStart, aEvent.Member()));
                 }
                 return step;
               }));
}

// Guards against a checker that accepts a start on an unknown write.
TEST(Gang, CheckerRejectsTrustInAnUnknownWrite)
{
  CHECK(Breaks(
    "a member was started before the commit was recorded",
    [](const Gang& aGang, const GangEvent& aEvent) {
      const bool confirming = aGang.Phase() == GangPhase::kRecordingCommit;
      if (confirming && aEvent.Kind() == GangEventKind::kRowWriteUnknown) {
        return aGang.Handle(
          GangEvent::ForGang(GangEventKind::kRowWritten, aEvent.Now()));
      }
      return aGang.Handle(aEvent);
    }));
}

// Guards against a checker that accepts a new attempt beside an old one.
TEST(Gang, CheckerRejectsAStopThatDoesNotWait)
{
  CHECK(Breaks("two attempts run at the same time",
               [](const Gang& aGang, const GangEvent& aEvent) {
                 const bool stopping = aGang.Phase() == GangPhase::kStopping;
                 if (stopping && aEvent.Kind() == GangEventKind::kTick) {
                   return aGang.Handle(
                     GangEvent::ForGang(GangEventKind::kTick,
                                        aEvent.Now() + std::chrono::hours(1)));
                 }
                 return aGang.Handle(aEvent);
               }));
}

// Guards against a checker that accepts a job recorded as done in part.
TEST(Gang, CheckerRejectsDoneOfOneMember)
{
  CHECK(Breaks(
    "a job is done although a member did not finish",
    [](const Gang& aGang, const GangEvent& aEvent) {
      GangStep step = aGang.Handle(aEvent);
      if (aEvent.Kind() != GangEventKind::kSucceeded) {
        return step;
      }
      for (std::size_t i = 0; i < aGang.Members().size(); ++i) {
        const auto finished = GangEvent::ForMember(
          GangEventKind::kSucceeded, aEvent.Attempt(), i, aEvent.Now());
        GangStep more = step.mNext.Handle(finished);
        step.mNext = more.mNext;
        step.mCommands.insert(
          step.mCommands.end(), more.mCommands.begin(), more.mCommands.end());
      }
      return step;
    }));
}
