#include "cornelrudder/protocol/JsonSchedulingCodec.h"

#include "JsonText.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/state/StateError.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using coordination::CoordinationError;
using nlohmann::json;
using state::scheduling::JobPhase;
using state::scheduling::JobProgress;
using state::scheduling::OwnerLease;
using state::scheduling::QueueSettings;
using state::scheduling::RecordedState;
using state::scheduling::Resources;
using state::scheduling::Schedule;
using state::scheduling::StepSpec;
using state::scheduling::StepSpecValues;
using state::scheduling::TaskJob;
using state::scheduling::TaskRecord;
using std::chrono::milliseconds;

namespace {

/** Encoded letter of each RecordedState, in the order of the enumeration. */
constexpr std::string_view kStateLetters = "wad";

/** Parses the text, decodes it and converts errors to CoordinationError. */
template<typename Function>
auto
Decode(const char* aWhat, const std::string& aText, Function aDecode)
{
  try {
    return aDecode(json::parse(aText));
  } catch (const json::exception& error) {
    throw CoordinationError(std::string(aWhat) + ": " + error.what());
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
StepFromJson(const json& aStep, std::size_t aPosition)
{
  StepSpecValues values;
  values.mTasks = aStep.at("tasks").get<std::size_t>();
  values.mDemand = Resources(aStep.at("cpu").get<std::int64_t>(),
                             aStep.at("memory").get<std::int64_t>(),
                             aStep.at("accelerators").get<std::int64_t>());
  values.mEstimatedRunTime =
    milliseconds(aStep.at("estimate_ms").get<std::int64_t>());
  values.mDependencies = aStep.value("after", std::vector<std::size_t>());
  values.mRequiredLabel = aStep.value("label", "");
  values.mAffinityRack = aStep.value("rack", "");
  values.mMaxPerWorker = aStep.value("max_per_worker", std::size_t{ 0 });
  values.mGang = aStep.value("gang", false);
  values.mSameRack = aStep.value("same_rack", false);
  values.mCheckpointing = aStep.value("checkpointing", false);
  values.mLongRunning = aStep.value("long_running", false);
  values.mSpeculative = aStep.value("speculative", false);
  return { std::move(values), aPosition };
}

QueueSettings
QueueSettingsFromJson(const json& aSettings)
{
  QueueSettings settings;
  settings.mQueue = aSettings.at("queue").get<std::string>();
  settings.mService = aSettings.at("service").get<std::string>();
  settings.mPriority = aSettings.at("priority").get<int>();
  settings.mMaxAttempts = aSettings.at("attempts").get<int>();
  settings.mSlackFactor = aSettings.at("slack_factor").get<double>();
  settings.mTargetLatency =
    milliseconds(aSettings.at("target_latency_ms").get<std::int64_t>());
  return settings;
}

TaskJob
TaskJobFromJson(const json& aJob)
{
  std::vector<StepSpec> steps;
  for (const json& step : aJob.at("steps")) {
    steps.push_back(StepFromJson(step, steps.size()));
  }
  Schedule schedule;
  if (aJob.contains("schedule")) {
    const json& timing = aJob.at("schedule");
    schedule.mOccurrences = timing.at("occurrences").get<std::size_t>();
    schedule.mStart = milliseconds(timing.at("start_ms").get<std::int64_t>());
    schedule.mInterval =
      milliseconds(timing.at("interval_ms").get<std::int64_t>());
  }
  return { aJob.at("id").get<std::string>(),
           aJob.at("organisation").get<std::string>(),
           QueueSettingsFromJson(aJob.at("terms")),
           aJob.at("payload").get<std::string>(),
           std::move(steps),
           schedule,
           milliseconds(aJob.at("submitted_ms").get<std::int64_t>()) };
}

/** @return [state, run, worker, failures, checkpoint]; 0 for a default record.
 */
json
RecordToJson(const TaskRecord& aRecord)
{
  if (aRecord == TaskRecord()) {
    return 0;
  }
  return json::array(
    { std::string(1, kStateLetters[static_cast<std::size_t>(aRecord.mState)]),
      aRecord.mRun,
      aRecord.mWorker,
      aRecord.mFailures,
      aRecord.mCheckpoint });
}

TaskRecord
RecordFromJson(const json& aRecord)
{
  TaskRecord record;
  if (!aRecord.is_array()) {
    return record;
  }
  const auto letter = aRecord.at(0).get<std::string>();
  const auto state = kStateLetters.find(letter);
  if (letter.size() != 1 || state == std::string_view::npos) {
    throw CoordinationError(
      "job progress: unknown task state; allowed are w, a and d");
  }
  record.mState = static_cast<RecordedState>(state);
  record.mRun = aRecord.at(1).get<std::uint64_t>();
  record.mWorker = aRecord.at(2).get<std::string>();
  record.mFailures = aRecord.at(3).get<int>();
  record.mCheckpoint = aRecord.at(4).get<std::string>();
  return record;
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
  return ToText({ { "id", aProgress.Job() },
                  { "organisation", aProgress.Organisation() },
                  { "state", JobPhaseName(aProgress.Phase()) },
                  { "begun", aProgress.HasStarted() },
                  { "tasks", std::move(tasks) } });
}

JobProgress
JsonSchedulingCodec::DecodeProgress(const std::string& aValue) const
{
  return Decode("job progress", aValue, [](const json& aObject) {
    std::vector<TaskRecord> records;
    for (const json& record : aObject.at("tasks")) {
      records.push_back(RecordFromJson(record));
    }
    return JobProgress(aObject.at("id").get<std::string>(),
                       aObject.at("organisation").get<std::string>(),
                       PhaseFromName(aObject.at("state").get<std::string>()),
                       aObject.at("begun").get<bool>(),
                       std::move(records));
  });
}

std::string
JsonSchedulingCodec::EncodeOwnerLease(const OwnerLease& aLease) const
{
  return ToText({ { "owner", aLease.mOwner },
                  { "incarnation", aLease.mIncarnation },
                  { "epoch", aLease.mEpoch },
                  { "sequence", aLease.mSequence },
                  { "pending", aLease.mPending },
                  { "handovers", aLease.mHandovers } });
}

OwnerLease
JsonSchedulingCodec::DecodeOwnerLease(const std::string& aValue) const
{
  return Decode("owner lease", aValue, [](const json& aObject) {
    OwnerLease lease;
    lease.mOwner = aObject.at("owner").get<std::string>();
    lease.mIncarnation = aObject.at("incarnation").get<std::string>();
    lease.mEpoch = aObject.at("epoch").get<std::uint64_t>();
    lease.mSequence = aObject.at("sequence").get<std::uint64_t>();
    lease.mPending =
      aObject.at("pending").get<std::map<std::string, std::uint64_t>>();
    // Rows of earlier releases have no such field.
    lease.mHandovers = aObject.value("handovers", std::uint64_t{ 0 });
    return lease;
  });
}

} // namespace cornelrudder::protocol
