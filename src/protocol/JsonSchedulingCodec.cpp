#include "cornelrudder/protocol/JsonSchedulingCodec.h"

#include "JsonText.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using coordination::CoordinationError;
using nlohmann::json;
using state::scheduling::CrashCount;
using state::scheduling::CrashEvidence;
using state::scheduling::JobPhase;
using state::scheduling::JobProgress;
using state::scheduling::OwnerLease;
using state::scheduling::QueueSettings;
using state::scheduling::RecordedState;
using state::scheduling::Resources;
using state::scheduling::Schedule;
using state::scheduling::StepSpec;
using state::scheduling::StepSpecValues;
using state::scheduling::TaskId;
using state::scheduling::TaskJob;
using state::scheduling::TaskRecord;
using state::scheduling::TerminationReasonFromName;
using state::scheduling::TerminationReasonName;
using state::scheduling::UnrecordedEnd;
using std::chrono::milliseconds;

namespace {

/** Encoded letter of each RecordedState, in the order of the enumeration. */
constexpr std::string_view kStateLetters = "wad";

/** A call that came before the store's first reading is before its clock's 0.
 */
constexpr NumberRange kSubmittedRange{ -kMillisecondsRange.mMax,
                                       kMillisecondsRange.mMax };

/** Priorities and attempts; far above what operators set. */
constexpr NumberRange kSmallRange{ 0, 1'000'000 };

/** Parts of a divided record, and tasks in or before a part. */
constexpr NumberRange kPartRange{ 0, 1'000'000 };

/** Parses the text, decodes it and converts errors to CoordinationError. */
template<typename Function>
auto
Decode(const char* aWhat, const std::string& aText, Function aDecode)
{
  try {
    const json value = ParseJson(aText, aWhat);
    return aDecode(JsonReader(value, aWhat));
  } catch (const ProtocolError& error) {
    throw CoordinationError(error.what());
  } catch (const state::StateError& error) {
    throw CoordinationError(std::string(aWhat) + ": " + error.what());
  }
}

json
StepToJson(const StepSpec& aStep)
{
  json step{ { "tasks", aStep.Tasks() },
             { "cpu", aStep.Demand().CpuMillis() },
             { "memory", aStep.Demand().MemoryMb() },
             { "accelerators", aStep.Demand().Accelerators() },
             { "estimate_ms", aStep.EstimatedRunTime().count() } };
  const auto putIfSet = [&step](const char* aName, const auto& aValue) {
    if (aValue != std::decay_t<decltype(aValue)>()) {
      step[aName] = aValue;
    }
  };
  putIfSet("after", aStep.Dependencies());
  putIfSet("label", aStep.RequiredLabel());
  putIfSet("rack", aStep.AffinityRack());
  putIfSet("max_per_worker", aStep.MaxPerWorker());
  putIfSet("gang", aStep.IsGang());
  putIfSet("same_rack", aStep.IsSameRack());
  putIfSet("checkpointing", aStep.IsCheckpointing());
  putIfSet("long_running", aStep.IsLongRunning());
  putIfSet("speculative", aStep.IsSpeculative());
  return step;
}

StepSpec
StepFromJson(const JsonReader& aStep, std::size_t aPosition)
{
  StepSpecValues values;
  values.mTasks = aStep.Counter("tasks");
  values.mDemand = Resources(aStep.Integer("cpu", kResourceRange),
                             aStep.Integer("memory", kResourceRange),
                             aStep.Integer("accelerators", kResourceRange));
  values.mEstimatedRunTime = aStep.Milliseconds("estimate_ms");
  values.mDependencies = aStep.Counters("after");
  values.mRequiredLabel = aStep.Text("label", "");
  values.mAffinityRack = aStep.Text("rack", "");
  values.mMaxPerWorker = aStep.Counter("max_per_worker", 0);
  values.mGang = aStep.Flag("gang", false);
  values.mSameRack = aStep.Flag("same_rack", false);
  values.mCheckpointing = aStep.Flag("checkpointing", false);
  values.mLongRunning = aStep.Flag("long_running", false);
  values.mSpeculative = aStep.Flag("speculative", false);
  return { std::move(values), aPosition };
}

QueueSettings
QueueSettingsFromJson(const JsonReader& aSettings)
{
  QueueSettings settings;
  settings.mQueue = aSettings.Text("queue");
  settings.mService = aSettings.Text("service");
  settings.mPriority =
    static_cast<int>(aSettings.Integer("priority", kSmallRange));
  settings.mMaxAttempts =
    static_cast<int>(aSettings.Integer("attempts", kSmallRange));
  settings.mSlackFactor = aSettings.Real("slack_factor", kSmallRange);
  settings.mTargetLatency = aSettings.Milliseconds("target_latency_ms");
  return settings;
}

TaskJob
TaskJobFromJson(const JsonReader& aJob)
{
  std::vector<StepSpec> steps;
  for (const JsonReader& step : aJob.Elements("steps")) {
    steps.push_back(StepFromJson(step, steps.size()));
  }
  Schedule schedule;
  if (aJob.Has("schedule")) {
    const JsonReader timing = aJob.At("schedule");
    schedule.mOccurrences = timing.Counter("occurrences");
    schedule.mStart = timing.Milliseconds("start_ms");
    schedule.mInterval = timing.Milliseconds("interval_ms");
  }
  return { aJob.Text("id"),
           aJob.Text("organisation"),
           QueueSettingsFromJson(aJob.At("terms")),
           aJob.Text("payload"),
           std::move(steps),
           schedule,
           milliseconds(aJob.Integer("submitted_ms", kSubmittedRange)) };
}

/**
 * @return [state, run, worker, failures, checkpoint], followed by [incarnation,
 *   total, suspect and alone crashes, earliest start] and [failed runs], each
 * if it or a later one is set; 0 for a default record. If there was a crash,
 * the former is continued by the expectations of the suspect crashes, the
 * number and expectations of those of the member, and the last run counted.
 */
json
RecordToJson(const TaskRecord& aRecord)
{
  if (aRecord == TaskRecord()) {
    return 0;
  }
  json record = json::array(
    { std::string(1, kStateLetters[static_cast<std::size_t>(aRecord.mState)]),
      aRecord.mRun,
      aRecord.mWorker,
      aRecord.mFailures,
      aRecord.mCheckpoint });
  const CrashCount& crashes = aRecord.mCrashes;
  const bool hasCrashes =
    crashes != CrashCount() || aRecord.mMemberCrashes != CrashEvidence();
  const bool hasFailedRuns = !aRecord.mFailedRuns.empty();
  if (aRecord.mIncarnation != 0 || aRecord.mStartAfter.count() != 0 ||
      hasCrashes || hasFailedRuns) {
    json run = json::array({ aRecord.mIncarnation,
                             crashes.Total(),
                             crashes.Suspect().Crashes(),
                             crashes.Alone(),
                             aRecord.mStartAfter.count() });
    if (hasCrashes) {
      run.push_back(crashes.Suspect().Expected());
      run.push_back(aRecord.mMemberCrashes.Crashes());
      run.push_back(aRecord.mMemberCrashes.Expected());
      run.push_back(aRecord.mLastCrashedRun);
    }
    record.push_back(std::move(run));
  }
  if (hasFailedRuns) {
    record.push_back(aRecord.mFailedRuns);
  }
  return record;
}

std::vector<std::int64_t>
ExpectedFromJson(const JsonReader& aExpected)
{
  constexpr NumberRange kRange{ 0, CrashEvidence::kMaxExpected };
  std::vector<std::int64_t> expected;
  for (int i = 0; aExpected.Has(i); ++i) {
    expected.push_back(aExpected.Integer(i, kRange));
  }
  return expected;
}

TaskRecord
RecordFromJson(const JsonReader& aRecord)
{
  TaskRecord record;
  const std::string letter = aRecord.Text(0);
  const auto state = kStateLetters.find(letter);
  if (letter.size() != 1 || state == std::string_view::npos) {
    throw CoordinationError(
      "job progress: unknown task state; allowed are w, a and d");
  }
  record.mState = static_cast<RecordedState>(state);
  record.mRun = aRecord.Counter(1);
  record.mWorker = aRecord.Text(2);
  record.mFailures = static_cast<int>(aRecord.Integer(3, kSmallRange));
  record.mCheckpoint = aRecord.Text(4);
  if (aRecord.Has(5)) {
    const JsonReader crashes = aRecord.At(5);
    record.mIncarnation = crashes.Counter(0);
    const auto count = [&crashes](int aPosition) {
      constexpr NumberRange kRange{ 0, CrashEvidence::kMaxCrashes };
      return static_cast<int>(crashes.Integer(aPosition, kRange));
    };
    // Records of earlier versions end after the counts.
    if (crashes.Has(4)) {
      record.mStartAfter = milliseconds(crashes.Integer(4, kMillisecondsRange));
    }
    const auto evidence = [&](int aCrashes, int aExpected) {
      return CrashEvidence(count(aCrashes),
                           crashes.Has(aExpected)
                             ? ExpectedFromJson(crashes.At(aExpected))
                             : std::vector<std::int64_t>());
    };
    record.mCrashes = CrashCount(count(1), count(3), evidence(2, 5));
    if (crashes.Has(6)) {
      record.mMemberCrashes = evidence(6, 7);
      record.mLastCrashedRun = crashes.Counter(8);
    }
  }
  if (aRecord.Has(6) && !aRecord.HasArray(6)) {
    throw CoordinationError("job progress: failed runs are no array");
  }
  record.mFailedRuns = aRecord.Counters(6);
  return record;
}

std::vector<UnrecordedEnd>
EndsFromJson(const JsonReader& aEnds)
{
  std::vector<UnrecordedEnd> ends;
  for (int i = 0; aEnds.Has(i); ++i) {
    const JsonReader it = aEnds.At(i);
    const auto task = TaskId::Parse(it.Text(0));
    const auto reason = TerminationReasonFromName(it.Text(2));
    if (!task || !reason) {
      throw CoordinationError(
        "owner lease: unusable end of a run: " + it.Text(0) + " " + it.Text(2));
    }
    ends.push_back({ *task, it.Counter(1), *reason });
  }
  return ends;
}

std::vector<TaskRecord>
RecordsFromJson(const JsonReader& aTasks)
{
  // Any other number than 0 could stand for a task that has run.
  constexpr NumberRange kDefaultRecord{ 0, 0 };
  std::vector<TaskRecord> records;
  for (int i = 0; aTasks.Has(i); ++i) {
    if (aTasks.HasArray(i)) {
      records.push_back(RecordFromJson(aTasks.At(i)));
    } else {
      aTasks.Integer(i, kDefaultRecord);
      records.emplace_back();
    }
  }
  return records;
}

JobPhase
PhaseFromName(const std::string& aName)
{
  const auto phase = state::scheduling::JobPhaseFromName(aName);
  if (!phase) {
    throw CoordinationError("job progress: field state: unknown phase \"" +
                            aName + "\"");
  }
  return *phase;
}

} // namespace

std::string
JsonSchedulingCodec::EncodeTaskJob(const TaskJob& aJob) const
{
  json steps = json::array();
  for (const StepSpec& step : aJob.Steps()) {
    steps.push_back(StepToJson(step));
  }
  const QueueSettings& settings = aJob.Settings();
  json job{ { "id", aJob.Id() },
            { "organisation", aJob.Organisation() },
            { "terms",
              { { "queue", settings.mQueue },
                { "service", settings.mService },
                { "priority", settings.mPriority },
                { "attempts", settings.mMaxAttempts },
                { "slack_factor", settings.mSlackFactor },
                { "target_latency_ms", settings.mTargetLatency.count() } } },
            { "payload", aJob.Payload() },
            { "steps", std::move(steps) },
            { "submitted_ms", aJob.SubmittedAt().count() } };
  if (aJob.IsScheduled()) {
    job["schedule"] = { { "occurrences", aJob.Timing().mOccurrences },
                        { "start_ms", aJob.Timing().mStart.count() },
                        { "interval_ms", aJob.Timing().mInterval.count() } };
  }
  return ToText(job);
}

TaskJob
JsonSchedulingCodec::DecodeTaskJob(const std::string& aValue) const
{
  return Decode("task job", aValue, TaskJobFromJson);
}

std::string
JsonSchedulingCodec::EncodeProgress(const JobProgress& aProgress) const
{
  json tasks = json::array();
  for (const TaskRecord& record : aProgress.Tasks()) {
    tasks.push_back(RecordToJson(record));
  }
  json progress{ { "id", aProgress.Job() },
                 { "organisation", aProgress.Organisation() },
                 { "state", JobPhaseName(aProgress.Phase()) },
                 { "begun", aProgress.HasStarted() },
                 { "tasks", std::move(tasks) } };
  if (aProgress.IsRow()) {
    progress["row"] = aProgress.Part();
    progress["first_task"] = aProgress.FirstTask();
  } else if (aProgress.TasksPerPart() > 0) {
    progress["part"] = aProgress.Part();
    progress["tasks_per_part"] = aProgress.TasksPerPart();
  }
  return ToText(progress);
}

JobProgress
JsonSchedulingCodec::DecodeProgress(const std::string& aValue) const
{
  return Decode("job progress", aValue, [](const JsonReader& aObject) {
    const JobProgress progress(aObject.Text("id"),
                               aObject.Text("organisation"),
                               PhaseFromName(aObject.Text("state")),
                               aObject.Flag("begun"),
                               RecordsFromJson(aObject.At("tasks")));
    if (aObject.Has("first_task")) {
      const std::size_t first = aObject.Integer("first_task", kPartRange);
      const std::size_t number = aObject.Integer("row", kPartRange);
      return progress.AsRow({ first, number });
    }
    const std::uint64_t part = aObject.Integer("part", kPartRange, 0);
    return progress.AsPart(part,
                           aObject.Integer("tasks_per_part", kPartRange, 0));
  });
}

std::string
JsonSchedulingCodec::EncodeOwnerLease(const OwnerLease& aLease) const
{
  json lease{ { "owner", aLease.mOwner },
              { "incarnation", aLease.mIncarnation },
              { "epoch", aLease.mEpoch },
              { "sequence", aLease.mSequence },
              { "pending", aLease.mPending },
              { "handovers", aLease.mHandovers },
              { "renewal_bound_ms", aLease.mRenewalBound.count() } };
  if (!aLease.mWorkerLeases.empty()) {
    lease["worker_leases_ms"] = aLease.mWorkerLeases;
  }
  if (aLease.mJobMemory) {
    lease["job_memory"] = {
      { "bytes", aLease.mJobMemory->mBytes },
      { "organisations", aLease.mJobMemory->mByOrganisation },
      { "jobs_version", aLease.mJobMemory->mJobsVersion }
    };
  }
  for (const UnrecordedEnd& it : aLease.mUnrecordedEnds) {
    lease["unrecorded_ends"].push_back(
      { it.mTask.Text(), it.mRun, TerminationReasonName(it.mReason) });
  }
  return ToText(lease);
}

OwnerLease
JsonSchedulingCodec::DecodeOwnerLease(const std::string& aValue) const
{
  return Decode("owner lease", aValue, [](const JsonReader& aObject) {
    OwnerLease lease;
    lease.mOwner = aObject.Text("owner");
    lease.mIncarnation = aObject.Text("incarnation");
    lease.mEpoch = aObject.Counter("epoch");
    lease.mSequence = aObject.Counter("sequence");
    lease.mPending = aObject.CountersByName("pending");
    // Rows of earlier releases have no such field.
    lease.mHandovers = aObject.Counter("handovers", 0);
    lease.mRenewalBound =
      aObject.Milliseconds("renewal_bound_ms", std::chrono::milliseconds(0));
    if (aObject.Has("worker_leases_ms")) {
      lease.mWorkerLeases = aObject.CountersByName("worker_leases_ms");
    }
    if (aObject.Has("job_memory")) {
      const JsonReader memory = aObject.At("job_memory");
      lease.mJobMemory = { memory.Counter("bytes"),
                           memory.CountersByName("organisations"),
                           memory.Counter("jobs_version") };
    }
    if (aObject.Has("unrecorded_ends")) {
      lease.mUnrecordedEnds = EndsFromJson(aObject.At("unrecorded_ends"));
    }
    return lease;
  });
}

} // namespace cornelrudder::protocol
