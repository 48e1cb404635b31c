#include "GangSimulation.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace cornelrudder::state;
using cornelrudder::tests::GangSimulation;
using cornelrudder::tests::GangTransition;
using cornelrudder::tests::RealTransition;

namespace {

using Choices = std::vector<std::uint16_t>;

/** Steps of one simulation; enough for several attempts. */
constexpr int kChoices = 400;

struct SimulationResult
{
  std::string mViolation;
  JobState mState;
  std::uint32_t mAttempts;
};

SimulationResult
RunSimulation(const GangTransition& aTransition,
              int aMembers,
              bool aIdempotent,
              const Choices& aChoices)
{
  GangSimulation simulation(aTransition, aMembers, aIdempotent);
  for (const std::uint16_t choice : aChoices) {
    simulation.Step(choice);
  }
  simulation.RunToCompletion();
  return { simulation.Violation(),
           simulation.RecordedJob().State(),
           simulation.RecordedJob().Attempt() };
}

Choices
RandomChoices(std::mt19937& aRandom)
{
  std::uniform_int_distribution<int> distribution(0, 65'535);
  Choices choices(kChoices);
  std::generate(choices.begin(), choices.end(), [&] {
    return static_cast<std::uint16_t>(distribution(aRandom));
  });
  return choices;
}

/** @return Whether a simulation finds that the transition violates the rule. */
bool
FindsViolation(const std::string& aRule, const GangTransition& aTransition)
{
  std::mt19937 random(20261204);
  for (int i = 0; i < 20'000; ++i) {
    const auto result =
      RunSimulation(aTransition, 2 + i % 2, i % 4 < 2, RandomChoices(random));
    if (result.mViolation == aRule) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(Gang){};

// Guards against a gang of which only some members run, a reused attempt
// number, an outcome that is recorded twice, and a job that never terminates.
TEST(Gang, KeepsInvariantsUnderInterleavingsAndFailovers)
{
  const bool ok = rc::check("gang rules", [](bool aIdempotent) {
    const int members = *rc::gen::inRange(1, 4);
    const auto choices = *rc::gen::container<Choices>(
      kChoices, rc::gen::inRange<std::uint16_t>(0, 65'535));
    const auto result =
      RunSimulation(RealTransition(), members, aIdempotent, choices);
    RC_CLASSIFY(result.mState == JobState::kSucceeded, "done");
    RC_CLASSIFY(result.mAttempts > 1, "several attempts");
    if (!result.mViolation.empty()) {
      RC_FAIL(result.mViolation);
    }
  });
  CHECK(ok);
}

// Guards against random choices that reach some final states too rarely, so
// that the test of the invariants would not cover them.
TEST(Gang, SimulationReachesEachOutcome)
{
  std::mt19937 random(20261204);
  std::map<JobState, int> states;
  int retried = 0;
  for (int i = 0; i < 10'000; ++i) {
    const auto result = RunSimulation(
      RealTransition(), 2 + i % 2, i % 4 < 2, RandomChoices(random));
    STRCMP_EQUAL("", result.mViolation.c_str());
    ++states[result.mState];
    retried += result.mAttempts > 1 ? 1 : 0;
  }
  CHECK(states[JobState::kSucceeded] > 20);
  CHECK(states[JobState::kCancelled] > 20);
  CHECK(states[JobState::kFailed] > 20);
  CHECK(retried > 20);
}

// Guards against a checker that misses the start of a member which is only
// reserved.
TEST(Gang, CheckerRejectsStartAfterReserve)
{
  CHECK(FindsViolation("a member was started before all were committed",
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

// Guards against a checker that misses the start of members while the outcome
// of the commit's row write is unknown.
TEST(Gang, CheckerRejectsStartOnUnknownWrite)
{
  CHECK(FindsViolation(
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

// Guards against a checker that misses a new attempt which starts before the
// leases of the previous one have expired.
TEST(Gang, CheckerRejectsStopThatDoesNotWaitForLeases)
{
  CHECK(FindsViolation(
    "two attempts run at the same time",
    [](const Gang& aGang, const GangEvent& aEvent) {
      const bool stopping = aGang.Phase() == GangPhase::kStopping;
      if (stopping && aEvent.Kind() == GangEventKind::kTick) {
        return aGang.Handle(GangEvent::ForGang(
          GangEventKind::kTick, aEvent.Now() + std::chrono::hours(1)));
      }
      return aGang.Handle(aEvent);
    }));
}

// Guards against a checker that misses a job recorded as succeeded after only
// one member has finished.
TEST(Gang, CheckerRejectsSuccessOfOneMemberForTheWholeGang)
{
  CHECK(FindsViolation(
    "a job is done although a member did not finish",
    [](const Gang& aGang, const GangEvent& aEvent) {
      GangStep step = aGang.Handle(aEvent);
      if (aEvent.Kind() != GangEventKind::kSucceeded) {
        return step;
      }
      for (std::size_t i = 0; i < aGang.Members().size(); ++i) {
        const auto succeeded = GangEvent::ForMember(
          GangEventKind::kSucceeded, aEvent.Attempt(), i, aEvent.Now());
        GangStep next = step.mNext.Handle(succeeded);
        step.mNext = next.mNext;
        step.mCommands.insert(
          step.mCommands.end(), next.mCommands.begin(), next.mCommands.end());
      }
      return step;
    }));
}
