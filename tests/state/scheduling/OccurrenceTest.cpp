#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

/**
 * @file
 * Scheduled jobs: each occurrence is placed, ranked and guaranteed by the time
 * at which it is due.
 */

using namespace cornelrudder::tests;
using namespace cornelrudder::state::scheduling;

namespace {

/** Run time of each task; the objective of MakeJob() is 4 s for it. */
constexpr milliseconds kRunTime{ 1'000 };
constexpr milliseconds kObjective{ 4'000 };
/** Due time of the first occurrence, on the clock of the model. */
constexpr milliseconds kStart{ 31'000 };

StepSpecValues
Step(std::size_t aTasks, std::int64_t aAccelerators, bool aGang = false)
{
  StepSpecValues values;
  values.mTasks = aTasks;
  values.mDemand = Resources(1'000, 1'000, aAccelerators);
  values.mEstimatedRunTime = kRunTime;
  values.mGang = aGang;
  return values;
}

TaskJob
MakeScheduledJob(const std::string& aId,
                 const StepSpecValues& aStep,
                 int aPriority,
                 std::size_t aOccurrences,
                 milliseconds aInterval)
{
  const TaskJob job = MakeJob(aId, aStep, aPriority);
  return { job.Id(),
           job.Organisation(),
           job.Settings(),
           job.Payload(),
           job.Steps(),
           { aOccurrences, kStart, aInterval },
           {} };
}

void
CheckNoViolation(const FleetModel& aModel)
{
  for (const std::string& violation : aModel.Violations()) {
    FAIL(violation.c_str());
  }
}

/** Checks that every task of an occurrence completes within its objective. */
void
CheckInTime(const FleetModel& aModel,
            const TaskJob& aJob,
            std::size_t aOccurrence)
{
  const milliseconds due =
    kStart +
    aJob.Timing().mInterval * static_cast<milliseconds::rep>(aOccurrence);
  for (std::size_t i = 0; i < aJob.Steps().front().Tasks(); ++i) {
    const auto completedAt =
      aModel.CompletedAt({ aJob.Id(), aOccurrence, 0, i });
    CHECK_TRUE(completedAt.has_value());
    CHECK_TRUE(completedAt.value_or(milliseconds::max()) - due <= kObjective);
  }
}

/** Advances the clock until a time of the model. */
void
RunUntil(FleetModel& aModel, milliseconds aTime)
{
  aModel.Run(aTime - aModel.Now());
}

/** Keeps a fleet full of work of the lowest priority until a time. */
void
RunWithBackground(FleetModel& aModel, milliseconds aEnd)
{
  for (int i = 0; aModel.Now() < aEnd; ++i) {
    aModel.Submit(MakeJob("low" + std::to_string(i), Step(4, 4), 2),
                  milliseconds(400));
    aModel.Run(milliseconds(200));
  }
}

} // namespace

TEST_GROUP(Occurrences){};

// Guards against ranking an occurrence that has just become due as one whose
// result has lost its value, because its job was submitted long before.
TEST(Occurrences, DueOccurrenceIsNotRankedAsExpired)
{
  FleetModel model({ 2, 2 });
  const TaskJob job =
    MakeScheduledJob("t", Step(2, 8, true), 1, 2, milliseconds(5'000));
  model.Submit(job, kRunTime);
  RunUntil(model, kStart - milliseconds(1'000));
  RunWithBackground(model, kStart + milliseconds(10'000));
  CheckInTime(model, job, 0);
  CheckInTime(model, job, 1);
  CheckNoViolation(model);
}

// Guards against a job that is not due yet and takes the guarantee of its
// organisation from a job that waits.
TEST(Occurrences, GuaranteeCoversDueOccurrencesOnly)
{
  FleetModel model({ 2, 2 });
  model.ApplyCatalog({ 1, 1, {}, { { "acme", {}, 16 } }, {} });
  model.Submit(
    MakeScheduledJob("t", Step(2, 8, true), 0, 1, milliseconds(1'000)),
    kRunTime);
  // Equally urgent work of another organisation, which only a guarantee stops.
  const TaskJob borrower = MakeJob("borrower", Step(16, 1), 0);
  model.Submit({ borrower.Id(),
                 "borrower",
                 borrower.Settings(),
                 borrower.Payload(),
                 borrower.Steps(),
                 {},
                 {} },
               milliseconds(60'000));
  model.Run(milliseconds(500));
  model.Submit(MakeJob("urgent", Step(2, 8, true), 0), kRunTime);
  // The platform allows 3.4 s for a reclaim.
  model.Run(milliseconds(3'400) + kRunTime + milliseconds(200));
  CHECK_TRUE(model.CompletedAt({ "urgent", 0, 0, 0 }).has_value());
  CheckNoViolation(model);
}

// Guards against a reclaim for a later occurrence whose freed capacity is given
// to other work: the reservation has to last from the preemption on, not from
// the submission.
TEST(Occurrences, GuaranteedOccurrenceStartsOnFullFleet)
{
  FleetModel model({ 4, 2 });
  model.ApplyCatalog({ 1, 1, {}, { { "acme", {}, 16 } }, {} });
  const TaskJob job =
    MakeScheduledJob("t", Step(2, 8, true), 0, 2, milliseconds(6'000));
  model.Submit(job, kRunTime);
  RunUntil(model, kStart - milliseconds(2'000));
  model.Submit(MakeJob("low", Step(64, 1), 2), milliseconds(60'000));
  RunUntil(model, kStart + milliseconds(12'000));
  CheckInTime(model, job, 0);
  CheckInTime(model, job, 1);
  CheckNoViolation(model);
}

// Guards against runs of an earlier occurrence that keep a later one waiting
// for a better place while most of the fleet is free.
TEST(Occurrences, LaterOccurrenceLeavesFullRackWhileFleetIsIdle)
{
  FleetModel model({ 8, 2 });
  StepSpecValues step = Step(2, 8);
  step.mAffinityRack = "r1";
  step.mEstimatedRunTime = milliseconds(20'000);
  const TaskJob job = MakeScheduledJob("t", step, 1, 2, milliseconds(7'000));
  model.Submit(job, milliseconds(20'000));
  RunUntil(model, kStart + milliseconds(7'000 + 3'000));
  // Four runs: the two of the first occurrence and those of the second.
  CHECK_EQUAL(4, model.Starts());
  CheckNoViolation(model);
}

// Guards against occurrences that wait for the end of an earlier one.
TEST(Occurrences, OverlappingOccurrencesRunAtTheSameTime)
{
  FleetModel model({ 4, 2 });
  const TaskJob job =
    MakeScheduledJob("t", Step(2, 2), 1, 6, milliseconds(300));
  model.Submit(job, kRunTime);
  RunUntil(model, kStart + milliseconds(6'000));
  for (std::size_t k = 0; k < 6; ++k) {
    CheckInTime(model, job, k);
  }
  CHECK_EQUAL(12, model.Starts());
  CHECK_EQUAL(static_cast<int>(JobPhase::kDone),
              static_cast<int>(model.OutcomeOf("t").mPhase));
  CheckNoViolation(model);
}

// Guards against occurrences that start after their job was cancelled.
TEST(Occurrences, CancellationEndsLaterOccurrences)
{
  FleetModel model({ 4, 2 });
  model.Submit(MakeScheduledJob("t", Step(2, 2), 1, 4, milliseconds(3'000)),
               kRunTime);
  RunUntil(model, kStart + milliseconds(4'000));
  model.Cancel("t");
  RunUntil(model, kStart + milliseconds(15'000));
  CHECK_EQUAL(4, model.Starts());
  CHECK_EQUAL(static_cast<int>(JobPhase::kCancelled),
              static_cast<int>(model.OutcomeOf("t").mPhase));
  CheckNoViolation(model);
}

// Guards against occurrences that are lost or run twice when the owner changes
// around their due time.
TEST(Occurrences, TakeoverAcrossDueTimeKeepsOccurrences)
{
  FleetModel model({ 4, 2 });
  const TaskJob job =
    MakeScheduledJob("t", Step(3, 2), 1, 3, milliseconds(4'000));
  model.Submit(job, kRunTime);
  RunUntil(model, kStart - milliseconds(10));
  model.ReplaceOwner();
  RunUntil(model, kStart + milliseconds(4'000 + 30));
  model.ReplaceOwner();
  RunUntil(model, kStart + milliseconds(20'000));
  for (std::size_t k = 0; k < 3; ++k) {
    CheckInTime(model, job, k);
  }
  CHECK_EQUAL(9, model.Starts());
  CheckNoViolation(model);
}

// Guards against occurrences that became due during an outage of the store and
// do not start once it is back.
TEST(Occurrences, StoreOutageAcrossDueTimeDelaysOccurrences)
{
  FleetModel model({ 4, 2 });
  const TaskJob job =
    MakeScheduledJob("t", Step(2, 2), 1, 3, milliseconds(1'000));
  model.Submit(job, kRunTime);
  RunUntil(model, kStart - milliseconds(500));
  model.SetStoreUp(false);
  RunUntil(model, kStart + milliseconds(1'800));
  CHECK_EQUAL(0, model.Starts());
  model.SetStoreUp(true);
  RunUntil(model, kStart + milliseconds(8'000));
  for (std::size_t k = 0; k < 3; ++k) {
    CheckInTime(model, job, k);
  }
  CheckNoViolation(model);
}
