#include "CrashTrial.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

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

TaskId
FirstTaskOf(const std::string& aJob)
{
  return { aJob, 0, 0, 0 };
}

void
CheckPhase(const FleetModel& aModel, const std::string& aJob, JobPhase aPhase)
{
  STRCMP_EQUAL(JobPhaseName(aPhase),
               JobPhaseName(aModel.OutcomeOf(aJob).mPhase));
}

void
CheckNoViolation(const FleetModel& aModel)
{
  for (const std::string& violation : aModel.Violations()) {
    FAIL(violation.c_str());
  }
}

CrashTrialResult
PlaySeeds(CrashTrialOptions aOptions, std::uint64_t aSeeds)
{
  CrashTrialResult sum;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aOptions.mSeed = seed;
    sum = sum.Plus(PlayCrashTrial(aOptions));
  }
  return sum;
}

void
CheckAllHealthyJobsEnd(const CrashTrialOptions& aOptions, std::uint64_t aSeeds)
{
  const CrashTrialResult result = PlaySeeds(aOptions, aSeeds);
  CHECK_EQUAL(0, result.mHealthyFailed);
  CHECK_EQUAL(0, result.mHealthyUnfinished);
  for (const std::string& violation : result.mViolations) {
    FAIL(violation.c_str());
  }
}

} // namespace

TEST_GROUP(SchedulerCrashes){};

// Guards against a task that takes one worker after the other down.
TEST(SchedulerCrashes, TaskThatCrashesWorkersFailsItsJob)
{
  FleetModel model({ 8, 2 });
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", Step(4, 1), 1), milliseconds(1'000));
  model.Submit(MakeJob("b", Step(16, 2), 1), milliseconds(4'000));
  model.Run(milliseconds(40'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckPhase(model, "b", JobPhase::kDone);
  CHECK(model.CrashesUnder(FirstTaskOf("a")) <= 3);
  CheckNoViolation(model);
}

// Guards against failing a healthy task that filled its worker when it crashed.
TEST(SchedulerCrashes, CrashesOfOtherCauseUnderLongRunsFailNoJob)
{
  FleetModel model({ 8, 2 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(20'000));
  for (int i = 0; i < 2; ++i) {
    model.Run(milliseconds(10'000));
    for (std::size_t worker = 0; worker < 8; ++worker) {
      if (model.RunningOn(worker) > 0) {
        model.CrashWorker(worker);
        break;
      }
    }
  }
  model.Run(milliseconds(40'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against failing a healthy task because of one worker that crashes
// again and again.
TEST(SchedulerCrashes, FlappingWorkerFailsNoJob)
{
  FleetModel model({ 8, 2 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(6'000));
  for (int i = 0; i < 8; ++i) {
    model.Run(milliseconds(2'000));
    model.CrashWorker(0);
  }
  model.Run(milliseconds(20'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against a task that waits for ever for a worker without other runs.
TEST(SchedulerCrashes, SuspectSharesAWorkerIfNoneIsEmpty)
{
  FleetModel model({ 4, 1 });
  model.MakeDeadly(FirstTaskOf("a"));
  for (int i = 0; i < 4; ++i) {
    model.Submit(MakeJob("long" + std::to_string(i), Step(1, 5), 1),
                 milliseconds(300'000));
  }
  model.Run(milliseconds(2'000));
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(1'000));
  model.Run(milliseconds(60'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against failing healthy tasks that share workers with such a task.
TEST(SchedulerCrashes, HealthyJobsBesideManySuchTasksComplete)
{
  FleetModel model({ 12, 2 });
  for (int i = 0; i < 6; ++i) {
    const std::string id = std::to_string(i);
    model.MakeDeadly(FirstTaskOf("bad" + id));
    model.Submit(MakeJob("bad" + id, Step(3, 1), 1), milliseconds(3'000));
    model.Submit(MakeJob("good" + id, Step(6, 1), 1), milliseconds(3'000));
    model.Run(milliseconds(700));
  }
  model.Run(milliseconds(90'000));
  for (int i = 0; i < 6; ++i) {
    CheckPhase(model, "bad" + std::to_string(i), JobPhase::kFailed);
    CheckPhase(model, "good" + std::to_string(i), JobPhase::kDone);
  }
  CheckNoViolation(model);
}

// Guards against a count that starts anew with each owner.
TEST(SchedulerCrashes, CrashesCountAcrossOwners)
{
  FleetModel model({ 8, 2 });
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(1'000));
  for (int i = 0; i < 12; ++i) {
    model.Run(milliseconds(5'000));
    model.ReplaceOwner();
  }
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against a new owner that does not see that the worker of a recorded
// run has restarted.
TEST(SchedulerCrashes, NewOwnerDetectsCrash)
{
  FleetModel model({ 4, 2 });
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(1'000));
  for (int i = 0; i < 8; ++i) {
    const int crashes = model.CrashesUnder(FirstTaskOf("a"));
    for (int n = 0; n < 200 && model.CrashesUnder(FirstTaskOf("a")) == crashes;
         ++n) {
      model.Run(milliseconds(50));
    }
    model.ReplaceOwner();
  }
  model.Run(milliseconds(20'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against a start that is repeated on the worker that it has crashed.
TEST(SchedulerCrashes, UnansweredStartsThatCrashWorkersFailTheJob)
{
  FleetModel model({ 8, 2 });
  model.MakeDeadly(FirstTaskOf("a"), milliseconds(0));
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(1'000));
  model.Run(milliseconds(60'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against counting the crash of one gang member for none of the members.
TEST(SchedulerCrashes, GangThatCrashesWorkersFailsItsJob)
{
  FleetModel model({ 8, 2 });
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", Step(4, 4, true), 1), milliseconds(1'000));
  model.Run(milliseconds(60'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against a long-running task that takes other runs down with each
// worker that it crashes, and against ending its job, which lasts until it is
// cancelled.
TEST(SchedulerCrashes, LongRunningTaskThatCrashesWorkersIsContained)
{
  constexpr std::size_t kTasks = 8;
  FleetModel model({ 8, 2 });
  StepSpecValues step = Step(2, 1);
  step.mLongRunning = true;
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", step, 1), milliseconds(1'000'000));
  model.Run(milliseconds(30'000));
  CheckPhase(model, "a", JobPhase::kRunning);
  const std::size_t starts = model.Starts();
  const int crashes = model.CrashesUnder(FirstTaskOf("a"));
  model.Submit(MakeJob("b", Step(kTasks, 1), 1), milliseconds(4'000));
  model.Run(milliseconds(30'000));
  CheckPhase(model, "a", JobPhase::kRunning);
  CheckPhase(model, "b", JobPhase::kDone);
  const auto crashesBeside =
    static_cast<std::size_t>(model.CrashesUnder(FirstTaskOf("a")) - crashes);
  CHECK(crashesBeside > 0);
  // Every task of the other job ran once.
  CHECK(model.Starts() - starts <= kTasks + crashesBeside + 1);
  CheckNoViolation(model);
}

// Guards against a job that fails although none of its runs has: two workers
// crashed early in its runs, and the task had each of them for itself.
TEST(SchedulerCrashes, TwoEarlyCrashesOfAWorkerOfItsOwnFailNoJob)
{
  constexpr std::size_t kWorkers = 6;
  FleetModel model({ kWorkers, 2 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(6'000));
  for (int i = 0; i < 2; ++i) {
    std::size_t host = kWorkers;
    for (int n = 0; n < 100 && host == kWorkers; ++n) {
      model.Run(milliseconds(100));
      for (std::size_t worker = 0; worker < kWorkers; ++worker) {
        host = model.RunningOn(worker) > 0 ? worker : host;
      }
    }
    CHECK(host < kWorkers);
    model.Run(milliseconds(1'200));
    model.CrashWorker(host);
  }
  model.Run(milliseconds(20'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against lasting tasks that stay down on an idle fleet after crashes of
// single workers: those beyond the limit of isolated tasks never got a turn.
TEST(SchedulerCrashes, LongRunningTasksReturnSoonAfterCrashesOfSingleWorkers)
{
  constexpr std::size_t kWorkers = 7;
  constexpr std::size_t kTasks = 24;
  constexpr int kCrashes = 4;
  FleetModelOptions options;
  options.mWorkers = kWorkers;
  options.mCrashTime = milliseconds(800);
  FleetModel model(options);
  StepSpecValues step = Step(kTasks, 1);
  step.mLongRunning = true;
  model.Submit(MakeJob("a", step, 1), milliseconds(1'000'000));
  for (int i = 0; i < kCrashes; ++i) {
    model.Run(milliseconds(8'000));
    std::size_t busiest = 0;
    for (std::size_t worker = 1; worker < kWorkers; ++worker) {
      if (model.RunningOn(worker) > model.RunningOn(busiest)) {
        busiest = worker;
      }
    }
    model.CrashWorker(busiest);
  }
  // A task that lasts has to run again 6 s after its last run.
  model.Run(milliseconds(6'000));
  std::size_t running = 0;
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    running += model.RunningOn(worker);
  }
  CHECK_EQUAL(kTasks, running);
  CheckNoViolation(model);
}

// Guards against ending a long-running job because its workers have crashed
// from time to time.
TEST(SchedulerCrashes, CrashesUnderALongRunningTaskFailNoJob)
{
  constexpr int kCrashes = 12;
  constexpr std::size_t kWorkers = 8;
  FleetModel model({ kWorkers, 2 });
  StepSpecValues step = Step(2, 1);
  step.mLongRunning = true;
  model.Submit(MakeJob("a", step, 1), milliseconds(1'000'000));
  for (int i = 0; i < kCrashes; ++i) {
    model.Run(milliseconds(5'000));
    std::size_t host = 0;
    while (host < kWorkers && model.RunningOn(host) == 0) {
      ++host;
    }
    CHECK(host < kWorkers);
    model.CrashWorker(host);
  }
  model.Run(milliseconds(15'000));
  CheckPhase(model, "a", JobPhase::kRunning);
  std::size_t running = 0;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    running += model.RunningOn(i);
  }
  CHECK_EQUAL(2, running);
  CheckNoViolation(model);
}

// Guards against tasks that last for weeks and that crashes of other causes
// isolate for ever.
TEST(SchedulerCrashes, LongRunOfALastingTaskClearsItsCrashes)
{
  constexpr std::size_t kWorkers = 8;
  FleetModel model({ kWorkers, 2 });
  StepSpecValues step = Step(1, 1);
  step.mLongRunning = true;
  model.Submit(MakeJob("a", step, 1), milliseconds(1'000'000));
  for (int i = 0; i < 2; ++i) {
    model.Run(milliseconds(5'000));
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      if (model.RunningOn(worker) > 0) {
        model.CrashWorker(worker);
      }
    }
  }
  model.Run(milliseconds(10'000));
  CHECK_EQUAL(2, model.StoredCrashes("a").Total());
  model.Run(milliseconds(40'000));
  CHECK(model.StoredCrashes("a") == CrashCount());
  CheckNoViolation(model);
}

// Guards against taking a crash for a lost path because the worker is back only
// after its lease has expired.
TEST(SchedulerCrashes, CrashesOfWorkersThatReturnLateCount)
{
  FleetModelOptions options{ 8, 2 };
  options.mCrashTime = milliseconds(9'000);
  FleetModel model(options);
  model.MakeDeadly(FirstTaskOf("a"));
  model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(1'000));
  model.Run(milliseconds(90'000));
  CheckPhase(model, "a", JobPhase::kFailed);
  CheckNoViolation(model);
}

// Guards against starts beyond the limit when owners are replaced and the store
// is away at any time between a crash and the next start.
TEST(SchedulerCrashes, LimitHoldsAcrossOwnersAndStoreOutages)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    FleetModelOptions options{ 12, 2 };
    options.mSeed = seed;
    options.mLostReplyShare = 0.02;
    FleetModel model(options);
    for (int i = 0; i < 3; ++i) {
      const std::string id = std::to_string(i);
      model.MakeDeadly(FirstTaskOf("bad" + id), milliseconds(10 * i));
      model.Submit(MakeJob("bad" + id, Step(2, 2, i == 1), 1),
                   milliseconds(3'000));
      model.Submit(MakeJob("good" + id, Step(6, 1), 1), milliseconds(3'000));
    }
    for (int i = 0; i < 4; ++i) {
      model.Run(milliseconds(1'000 + random() % 9'000));
      if (random() % 2 == 0) {
        model.ReplaceOwner();
      } else {
        model.SetStoreUp(false);
        model.Run(milliseconds(random() % 4'000));
        model.SetStoreUp(true);
      }
    }
    model.Run(milliseconds(90'000));
    for (int i = 0; i < 3; ++i) {
      CheckPhase(model, "bad" + std::to_string(i), JobPhase::kFailed);
      CheckPhase(model, "good" + std::to_string(i), JobPhase::kDone);
    }
    CheckNoViolation(model);
  }
}

// Guards against failing a healthy gang because workers crashed under different
// members of it.
TEST(SchedulerCrashes, CrashesUnderDifferentMembersOfAGangFailNoJob)
{
  constexpr std::size_t kWorkers = 16;
  constexpr std::size_t kMembers = 8;
  constexpr std::size_t kCrashes = 5;
  FleetModel model({ kWorkers, 8 });
  model.Submit(MakeJob("a", Step(kMembers, 8, true), 1), milliseconds(6'000));
  for (std::size_t i = 0; i < kCrashes; ++i) {
    std::vector<std::size_t> hosts;
    for (int n = 0; n < 200 && hosts.size() < kMembers; ++n) {
      model.Run(milliseconds(100));
      hosts.clear();
      for (std::size_t worker = 0; worker < kWorkers; ++worker) {
        if (model.RunningOn(worker) > 0) {
          hosts.push_back(worker);
        }
      }
    }
    CheckPhase(model, "a", JobPhase::kRunning);
    model.Run(milliseconds(1'200));
    model.CrashWorkerFor(hosts.at(i + 1), milliseconds(4'500));
  }
  model.Run(milliseconds(40'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against counting one crashed run of a gang again with the next owner.
TEST(SchedulerCrashes, CrashedRunOfAGangCountsOnceAcrossOwners)
{
  constexpr std::size_t kWorkers = 4;
  FleetModel model({ kWorkers, 2 });
  model.Submit(MakeJob("a", Step(kWorkers, 8, true), 1), milliseconds(20'000));
  model.Run(milliseconds(2'000));
  model.CrashWorkerFor(0, milliseconds(1'000));
  model.CrashWorkerFor(1, milliseconds(3'000));
  model.Run(milliseconds(2'000));
  CHECK_EQUAL(1, model.StoredCrashes("a").Total());
  model.ReplaceOwner();
  model.Run(milliseconds(5'000));
  CHECK_EQUAL(1, model.StoredCrashes("a").Total());
  CheckNoViolation(model);
}

// Guards against failing healthy gangs where workers crash often.
TEST(SchedulerCrashes, FrequentCrashesOfWorkersFailNoHealthyGang)
{
  CrashTrialOptions options;
  options.mTasks = 5;
  options.mIsGang = true;
  options.mAccelerators = 4;
  options.mSubmitInterval = milliseconds(900);
  CheckAllHealthyJobsEnd(options, 6);
}

// Guards against missing the crashes of workers that return as other ones.
TEST(SchedulerCrashes, CrashesOfWorkersWithNewIdentifiersFailNoHealthyGang)
{
  CrashTrialOptions options;
  options.mTasks = 5;
  options.mIsGang = true;
  options.mAccelerators = 4;
  options.mSubmitInterval = milliseconds(900);
  options.mHasNewIdentifiers = true;
  CheckAllHealthyJobsEnd(options, 10);
}

// Guards against failing healthy single tasks where workers crash often.
TEST(SchedulerCrashes, FrequentCrashesOfWorkersFailNoHealthyTask)
{
  CrashTrialOptions options;
  options.mDownShare = 0.14;
  options.mWaveInterval = milliseconds(2'000);
  options.mSubmitInterval = milliseconds(300);
  CheckAllHealthyJobsEnd(options, 6);
}

// Guards against tasks that crash their workers and hide among other crashes.
TEST(SchedulerCrashes, FrequentCrashesOfWorkersHideNoTaskThatCausesThem)
{
  CrashTrialOptions options;
  options.mDeadlyShare = 0.3;
  options.mSubmitInterval = milliseconds(700);
  for (const bool isGang : { false, true }) {
    options.mIsGang = isGang;
    options.mTasks = isGang ? 5 : 1;
    options.mAccelerators = isGang ? 4 : 8;
    const CrashTrialResult result = PlaySeeds(options, 4);
    CHECK_EQUAL(0, result.mExcessStarts);
    CHECK_EQUAL(result.mDeadlyJobs, result.mDeadlyFailed);
    CHECK_EQUAL(0, result.mHealthyFailed);
  }
}

// Guards against failing jobs because all workers restart at the same time.
TEST(SchedulerCrashes, SimultaneousRestartsFailNoJob)
{
  FleetModel model({ 8, 2 });
  model.Submit(MakeJob("a", Step(8, 8), 1), milliseconds(6'000));
  for (int n = 0; n < 3; ++n) {
    model.Run(milliseconds(3'000));
    for (std::size_t i = 0; i < 8; ++i) {
      model.CrashWorker(i);
    }
  }
  model.Run(milliseconds(30'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against missing a common cause soon after the starts.
TEST(SchedulerCrashes, SimultaneousRestartsSoonAfterStartsFailNoJob)
{
  constexpr std::size_t kWorkers = 8;
  FleetModel model({ kWorkers, 2 });
  model.Submit(MakeJob("a", Step(kWorkers, 8), 1), milliseconds(6'000));
  for (int n = 0; n < 3; ++n) {
    model.Run(milliseconds(700));
    for (std::size_t i = 0; i < kWorkers; ++i) {
      model.CrashWorker(i);
    }
  }
  model.Run(milliseconds(60'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}

// Guards against failing healthy jobs whose rack loses power soon after starts.
TEST(SchedulerCrashes, RackThatLosesPowerSoonAfterStartsFailsNoJob)
{
  constexpr std::size_t kWorkers = 32;
  constexpr std::size_t kRack = 8;
  constexpr int kOutages = 4;
  FleetModel model({ kWorkers, kRack });
  model.Submit(MakeJob("busy", Step(kWorkers - kRack, 8), 1),
               milliseconds(200'000));
  model.Run(milliseconds(5'000));
  for (std::size_t i = 0; i < kRack; ++i) {
    model.Submit(MakeJob("a" + std::to_string(i), Step(1, 8), 1),
                 milliseconds(6'000));
  }
  std::vector<std::size_t> rack;
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    if (model.RunningOn(worker) == 0) {
      rack.push_back(worker);
    }
  }
  CHECK_EQUAL(kRack, rack.size());
  const auto isIdle = [&model](std::size_t aWorker) {
    return model.RunningOn(aWorker) == 0;
  };
  for (int n = 0; n < kOutages; ++n) {
    for (int i = 0; i < 200 && std::any_of(rack.begin(), rack.end(), isIdle);
         ++i) {
      model.Run(milliseconds(50));
    }
    model.Run(milliseconds(500));
    for (const std::size_t worker : rack) {
      model.CrashWorkerFor(worker, milliseconds(3'000));
    }
    model.Run(milliseconds(100));
  }
  model.Run(milliseconds(60'000));
  for (std::size_t i = 0; i < kRack; ++i) {
    CheckPhase(model, "a" + std::to_string(i), JobPhase::kDone);
  }
  CheckPhase(model, "busy", JobPhase::kRunning);
  CheckNoViolation(model);
}

// Guards against a task that is never alone on a full fleet of short runs.
TEST(SchedulerCrashes, TaskAmongYoungRunsOnAFullFleetFailsItsJob)
{
  for (const int delay : { 10, 500, 1'500 }) {
    FleetModel model({ 8, 2 });
    model.MakeDeadly(FirstTaskOf("a"), milliseconds(delay));
    model.Submit(MakeJob("a", Step(1, 1), 1), milliseconds(4'000));
    for (int i = 0; i < 120; ++i) {
      model.Submit(MakeJob("b" + std::to_string(i), Step(16, 1), 1),
                   milliseconds(3'000));
    }
    model.Run(milliseconds(90'000));
    CheckPhase(model, "a", JobPhase::kFailed);
    CheckNoViolation(model);
  }
}

// Guards against counting planned shutdowns and lost paths as crashes.
TEST(SchedulerCrashes, ShutdownsAndLapsedLeasesAreNoCrashes)
{
  FleetModel model({ 8, 8 });
  model.Submit(MakeJob("a", Step(1, 8), 1), milliseconds(12'000));
  for (std::size_t i = 0; i < 3; ++i) {
    model.Run(milliseconds(1'000));
    std::size_t host = 0;
    while (host < 8 && model.RunningOn(host) == 0) {
      ++host;
    }
    CHECK(host < 8);
    if (i == 2) {
      model.SetDraining(host);
      model.CrashWorker(host);
    } else {
      model.SetReachable(host, false);
    }
    model.Run(milliseconds(11'000));
  }
  model.Run(milliseconds(30'000));
  CheckPhase(model, "a", JobPhase::kDone);
  CheckNoViolation(model);
}
