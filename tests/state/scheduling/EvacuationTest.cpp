#include "FleetModel.h"
#include "cornelrudder/state/scheduling/SettingsConfirmation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <string>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

/** Two zones of two workers each; each worker is a rack of its own. */
FleetModelOptions
TwoZones()
{
  FleetModelOptions options;
  options.mWorkers = 4;
  options.mWorkersPerRack = 1;
  options.mWorkersPerZone = 2;
  return options;
}

StepSpecValues
Step(std::size_t aTasks, std::int64_t aAccelerators, bool aGang = false)
{
  StepSpecValues values;
  values.mTasks = aTasks;
  values.mDemand = Resources(1'000, 1'000, aAccelerators);
  values.mEstimatedRunTime = milliseconds(1'000);
  values.mGang = aGang;
  return values;
}

std::size_t
RunningIn(const FleetModel& aModel, std::initializer_list<std::size_t> aWorkers)
{
  std::size_t n = 0;
  for (const std::size_t worker : aWorkers) {
    n += aModel.RunningOn(worker);
  }
  return n;
}

void
CheckDone(const FleetModel& aModel, const std::string& aJob)
{
  CHECK(aModel.OutcomeOf(aJob).mPhase == JobPhase::kDone);
}

void
CheckNoViolation(const FleetModel& aModel)
{
  for (const std::string& violation : aModel.Violations()) {
    FAIL(violation.c_str());
  }
}

std::size_t
CountEvents(const FleetModel& aModel, SchedulerEvent::Kind aKind)
{
  const auto& events = aModel.OwnerEvents();
  return static_cast<std::size_t>(
    std::count_if(events.begin(), events.end(), [aKind](const auto& aEvent) {
      return aEvent.mKind == aKind;
    }));
}

} // namespace

TEST_GROUP(Evacuation){};

// Load: more tasks than the remaining zone can run at once.
TEST(Evacuation, NothingStartsThereAndRunsContinue)
{
  FleetModel model(TwoZones());
  model.Submit(MakeJob("before", Step(4, 8), 1), milliseconds(3'000));
  model.Run(milliseconds(1'000));
  CHECK_EQUAL(2, RunningIn(model, { 2, 3 }));
  model.Evacuate({ "z1" });
  model.Submit(MakeJob("after", Step(6, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(1'000));
  CHECK_EQUAL(2, RunningIn(model, { 2, 3 }));
  model.Run(milliseconds(14'000));
  CheckDone(model, "before");
  CheckDone(model, "after");
  CHECK_EQUAL(0, model.Stops());
  CHECK_EQUAL(1, CountEvents(model, SchedulerEvent::Kind::kEvacuated));
  CHECK_EQUAL(2, model.Gauge("scheduler_workers_evacuated"));
  CheckNoViolation(model);
}

// Guards against a start that was planned before the evacuation and sent after
// it: the record of the plan is not stored yet.
TEST(Evacuation, PlannedRunsAreWithdrawn)
{
  FleetModel model(TwoZones());
  model.SetStoreUp(false);
  model.Submit(MakeJob("j", Step(4, 8), 1), milliseconds(500));
  model.Run(milliseconds(500));
  CHECK_EQUAL(0, model.Starts());
  model.Evacuate({ "z0" });
  model.SetStoreUp(true);
  model.Run(milliseconds(8'000));
  CheckDone(model, "j");
  CHECK(CountEvents(model, SchedulerEvent::Kind::kRunLost) >= 2);
  CheckNoViolation(model);
}

// Guards against a gang of which the members outside the zone start alone.
TEST(Evacuation, PlannedGangIsWithdrawnWhole)
{
  FleetModel model(TwoZones());
  model.SetStoreUp(false);
  model.Submit(MakeJob("gang", Step(4, 8, true), 1), milliseconds(500));
  model.Run(milliseconds(500));
  model.Evacuate({ "z1" });
  model.SetStoreUp(true);
  model.Run(milliseconds(3'000));
  CHECK_EQUAL(0, model.Starts());
  model.Evacuate({});
  model.Run(milliseconds(5'000));
  CheckDone(model, "gang");
  CheckNoViolation(model);
}

// Guards against repeating a start whose reply was lost: the worker may not
// have received the first one.
TEST(Evacuation, StartOfUnknownOutcomeIsNotRepeated)
{
  FleetModel model(TwoZones());
  model.DelayStarts(1);
  model.Submit(MakeJob("j", Step(1, 8), 1), milliseconds(1'000));
  model.Run(milliseconds(100));
  model.Evacuate({ "z0", "z1" });
  model.Run(milliseconds(12'000));
  CHECK(model.Starts() <= 1);
  model.Evacuate({});
  model.Run(milliseconds(12'000));
  CheckDone(model, "j");
  CheckNoViolation(model);
}

// Load: urgent work that could preempt in both zones. Work in the evacuated one
// is not stopped, since the room could not be used.
TEST(Evacuation, NoPreemptionInTheZone)
{
  FleetModel model(TwoZones());
  model.Submit(MakeJob("low", Step(4, 8), 2), milliseconds(20'000));
  model.Run(milliseconds(1'000));
  model.Evacuate({ "z1" });
  model.Submit(MakeJob("urgent", Step(4, 8), 0), milliseconds(1'000));
  model.Run(milliseconds(8'000));
  CHECK_EQUAL(2, RunningIn(model, { 2, 3 }));
  CheckDone(model, "urgent");
  CheckNoViolation(model);
}

// Guards against work that waits for the rack of its data although that rack
// accepts nothing.
TEST(Evacuation, WorkWithDataInTheZoneRunsElsewhere)
{
  FleetModel model(TwoZones());
  model.Evacuate({ "z0" });
  StepSpecValues step = Step(2, 8);
  step.mAffinityRack = "r0";
  model.Submit(MakeJob("j", step, 1), milliseconds(500));
  model.Run(milliseconds(3'000));
  CheckDone(model, "j");
  CheckNoViolation(model);
}

// Guards against an evacuation that a successor does not keep, and against jobs
// that are lost while all zones are evacuated.
TEST(Evacuation, AllZonesAcrossAChangeOfOwner)
{
  FleetModel model(TwoZones());
  model.Submit(MakeJob("running", Step(2, 8), 1), milliseconds(4'000));
  model.Run(milliseconds(500));
  model.Evacuate({ "z0", "z1" });
  model.Submit(MakeJob("waiting", Step(2, 8), 1), milliseconds(500));
  model.ReplaceOwner();
  model.Run(milliseconds(12'000));
  CheckDone(model, "running");
  CHECK(model.OutcomeOf("waiting").mPhase == JobPhase::kQueued);
  model.Evacuate({ "z1" });
  model.Run(milliseconds(3'000));
  CheckDone(model, "waiting");
  CheckNoViolation(model);
}

// Guards against a worker that appears in an evacuated zone.
TEST(Evacuation, WorkerThatAppearsInTheZoneGetsNothing)
{
  FleetModel model(TwoZones());
  model.UnlistWorker(3);
  model.Run(milliseconds(200));
  model.Evacuate({ "z1" });
  model.PublishWorker(3);
  model.Submit(MakeJob("j", Step(8, 8), 1), milliseconds(300));
  model.Run(milliseconds(8'000));
  CheckDone(model, "j");
  CheckNoViolation(model);
}

// Load: evacuations of either zone, both and none, drawn at random, beside lost
// replies, late starts and changes of owner.
TEST(Evacuation, HoldsUnderRandomFaults)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FleetModelOptions options = TwoZones();
    options.mSeed = seed;
    options.mLostReplyShare = 0.05;
    options.mLateStartShare = 0.05;
    FleetModel model(options);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 24; ++i) {
      const std::size_t tasks = 1 + random() % 3;
      const bool isGang = random() % 2 == 0;
      const int priority = static_cast<int>(random() % 3);
      model.Submit(
        MakeJob("j" + std::to_string(i), Step(tasks, 4, isGang), priority, 4),
        milliseconds(300 + random() % 3'000));
      const std::array<std::set<std::string>, 5> choices{
        { { "z0" }, { "z1" }, { "z0", "z1" }, {}, {} }
      };
      model.Evacuate(choices.at(random() % choices.size()));
      if (random() % 6 == 0) {
        model.ReplaceOwner();
      }
      model.Run(milliseconds(200 + random() % 1'500));
    }
    model.Evacuate({});
    model.Run(milliseconds(90'000));
    for (int i = 0; i < 24; ++i) {
      CheckDone(model, "j" + std::to_string(i));
    }
    CheckNoViolation(model);
  }
}

// Guards against a daemon that starts runs before it has read the settings, on
// a VM that was booted a moment ago.
TEST(Evacuation, SettingsThatWereNeverReadAllowNoStarts)
{
  constexpr milliseconds kBound{ 5'000 };
  CHECK(SettingsConfirmation().StartsUntil(kBound) < milliseconds(0));
  CHECK(SettingsConfirmation().StartsUntil(milliseconds(0)) ==
        milliseconds::max());
  CHECK(SettingsConfirmation(milliseconds(1'000)).StartsUntil(kBound) ==
        milliseconds(5'500));
}
