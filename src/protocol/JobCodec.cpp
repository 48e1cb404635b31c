#include "cornelrudder/protocol/JobCodec.h"

#include "JsonText.h"
#include "cornelrudder/protocol/CallerCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/state/StateError.h"

#include <algorithm>
#include <array>
#include <limits>

#include <nlohmann/json.hpp>

namespace cornelrudder::protocol {

using nlohmann::json;
using state::FailureReason;
using state::Job;
using state::JobCommandKind;
using state::JobReply;
using state::JobSpec;
using state::JobState;
using state::WasRun;

namespace {

constexpr std::size_t kJobStateCount = 10;
constexpr std::size_t kFailureReasonCount = 17;
constexpr std::size_t kWasRunCount = 3;

/** Attempts are encoded for peers as 32 bits. */
constexpr NumberRange kAttemptRange{
  0,
  std::numeric_limits<std::uint32_t>::max()
};
constexpr NumberRange kAcceleratorRange{ 0, 1'000'000 };

constexpr std::array kJobFields{
  std::string_view("organisation"),
  std::string_view("team"),
  std::string_view("class"),
  std::string_view("workers"),
  std::string_view("accelerators_per_worker"),
  std::string_view("adjacency"),
  std::string_view("expected_seconds"),
  std::string_view("key"),
};

/** Rejections for which a retry may succeed. */
constexpr std::array kRetryableReasons{
  FailureReason::kNoCapacity,       FailureReason::kOverloaded,
  FailureReason::kStoreUnavailable, FailureReason::kQuotaExceeded,
  FailureReason::kNoOwner,          FailureReason::kShuttingDown,
};

/** @return The enumerator below aCount that has this name. */
template<typename Enum, typename NameFunction>
Enum
ParseName(const std::string& aKey,
          const std::string& aName,
          std::size_t aCount,
          NameFunction aNameFunction)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto value = static_cast<Enum>(i);
    if (aNameFunction(value) == aName) {
      return value;
    }
  }
  throw ProtocolError("job: " + aKey + ": unknown name \"" +
                      aName.substr(0, state::kMaxIdLength) + "\"");
}

std::int64_t
RequiredInteger(const json& aObject, const char* aKey, std::int64_t aMax)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    throw ProtocolError("job: " + std::string(aKey) + " is required");
  }
  const bool isInteger = it->is_number_integer();
  const auto n = isInteger ? it->get<std::int64_t>() : -1;
  if (n < 0 || n > aMax) {
    throw ProtocolError("job: " + std::string(aKey) + ": found " +
                        it->dump(-1, ' ', true).substr(0, 64) +
                        "; allowed is a whole number from 0 to " +
                        std::to_string(aMax));
  }
  return n;
}

std::string
RequiredText(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end() || !it->is_string()) {
    throw ProtocolError("job: " + std::string(aKey) + ": a string is required");
  }
  return it->get<std::string>();
}

/** @return The idempotency key; empty if absent, so that a retry submits
 * another job. */
std::string
OptionalKey(const json& aObject)
{
  if (!aObject.contains("key")) {
    return {};
  }
  std::string key = RequiredText(aObject, "key");
  if (!key.empty()) {
    state::RequireValidId("key", key);
  }
  return key;
}

state::Shape
DecodeShape(const json& aObject)
{
  const std::string name = RequiredText(aObject, "adjacency");
  const auto adjacency = state::ParseAdjacency(name);
  if (!adjacency) {
    throw ProtocolError("job: adjacency \"" +
                        name.substr(0, state::kMaxIdLength) +
                        "\": allowed are worker, rack, zone, region");
  }
  constexpr std::int64_t kMax = state::Shape::kMaxAccelerators;
  return { static_cast<int>(RequiredInteger(aObject, "workers", kMax)),
           static_cast<int>(
             RequiredInteger(aObject, "accelerators_per_worker", kMax)),
           *adjacency };
}

JobSpec
SpecFromJson(const state::JobId& aId, const json& aObject)
{
  return { aId,
           state::OrganisationId(RequiredText(aObject, "organisation")),
           state::TeamId(RequiredText(aObject, "team")),
           state::ClassName(RequiredText(aObject, "class")),
           DecodeShape(aObject),
           OptionalKey(aObject),
           std::chrono::seconds(RequiredInteger(
             aObject, "expected_seconds", kMaxExpectedRunTime.count())) };
}

json
SpecToJson(const JobSpec& aSpec)
{
  return {
    { "organisation", aSpec.Organisation().Text() },
    { "team", aSpec.Team().Text() },
    { "class", aSpec.Class().Text() },
    { "workers", aSpec.GangShape().Workers() },
    { "accelerators_per_worker", aSpec.GangShape().AcceleratorsPerWorker() },
    { "adjacency", state::AdjacencyName(aSpec.GangShape().AdjacencyLevel()) },
    { "expected_seconds", aSpec.ExpectedRunTime().count() },
    { "key", aSpec.IdempotencyKey() },
  };
}

json
ToJson(const Job& aJob)
{
  json members = json::array();
  for (const state::MemberPlacement& member : aJob.Placement().Members()) {
    members.push_back({ { "worker", member.Worker().Text() },
                        { "accelerators", member.Accelerators() } });
  }
  json object = SpecToJson(aJob.Spec());
  object["id"] = aJob.Spec().Name().Text();
  object["state"] = JobStateName(aJob.State());
  object["attempt"] = aJob.Attempt();
  object["epoch"] = aJob.Epoch();
  object["members"] = members;
  object["reason"] = FailureReasonName(aJob.Reason());
  object["ran"] = WasRunName(aJob.HasRun());
  object["detail"] = aJob.Detail();
  return object;
}

state::GangPlacement
DecodePlacement(const JsonReader& aJob)
{
  std::vector<state::MemberPlacement> members;
  for (const JsonReader& member : aJob.Elements("members")) {
    std::vector<int> indexes;
    const JsonReader accelerators = member.At("accelerators");
    for (int i = 0; accelerators.Has(i); ++i) {
      indexes.push_back(
        static_cast<int>(accelerators.Integer(i, kAcceleratorRange)));
    }
    members.emplace_back(state::VmId(member.Text("worker")),
                         std::move(indexes));
  }
  return state::GangPlacement(std::move(members));
}

Job
JobFromJson(const json& aObject)
{
  const JsonReader job(aObject, "job");
  if (!job.Has("members")) {
    throw ProtocolError("job: field members is missing");
  }
  return { SpecFromJson(state::JobId(RequiredText(aObject, "id")), aObject),
           ParseName<JobState>("state",
                               RequiredText(aObject, "state"),
                               kJobStateCount,
                               state::JobStateName),
           static_cast<std::uint32_t>(job.Integer("attempt", kAttemptRange)),
           job.Counter("epoch"),
           DecodePlacement(job),
           ParseName<FailureReason>("reason",
                                    RequiredText(aObject, "reason"),
                                    kFailureReasonCount,
                                    state::FailureReasonName),
           ParseName<WasRun>("ran",
                             RequiredText(aObject, "ran"),
                             kWasRunCount,
                             state::WasRunName),
           RequiredText(aObject, "detail") };
}

/** Parses the text, decodes it and converts errors to ProtocolError. */
template<typename Decoder>
auto
Decode(std::string_view aText, Decoder aDecoder)
{
  try {
    const json object = ParseJson(aText, "job");
    if (!object.is_object()) {
      throw ProtocolError("job: found " + std::string(object.type_name()) +
                          "; allowed is an object");
    }
    return aDecoder(object);
  } catch (const json::exception& error) {
    throw ProtocolError(std::string("job: ") + error.what());
  } catch (const state::StateError& error) {
    throw ProtocolError(std::string("job: ") + error.what());
  }
}

HttpResponse
EncodeJobRefusal(const JobReply& aReply)
{
  const json body{ { "error", FailureReasonName(aReply.Reason()) },
                   { "reason", aReply.Detail() },
                   { "ran", WasRunName(aReply.HasRun()) } };
  HttpHeaders headers{ { "content-type", "application/json" } };
  if (std::find(kRetryableReasons.begin(),
                kRetryableReasons.end(),
                aReply.Reason()) != kRetryableReasons.end()) {
    headers.emplace("retry-after", "1");
  }
  return { HttpStatusOf(aReply.Reason()), std::move(headers), ToText(body) };
}

void
RequireKnownFields(const json& aObject)
{
  for (const auto& [key, value] : aObject.items()) {
    if (std::find(kJobFields.begin(), kJobFields.end(), key) ==
        kJobFields.end()) {
      throw ProtocolError("job: unknown field \"" +
                          key.substr(0, state::kMaxIdLength) + "\"");
    }
  }
}

} // namespace

std::string
EncodeJob(const Job& aJob)
{
  return ToText(ToJson(aJob));
}

Job
DecodeJob(std::string_view aText)
{
  return Decode(aText, JobFromJson);
}

JobSpec
DecodeJobSpec(const state::JobId& aId, const HttpRequest& aRequest)
{
  return Decode(aRequest.Body(), [&](json aObject) {
    RequireKnownFields(aObject);
    const auto setFromHeader = [&](const char* aField,
                                   std::string_view aHeader) {
      if (!aObject.contains(aField) && !aRequest.Header(aHeader).empty()) {
        aObject[aField] = aRequest.Header(aHeader);
      }
    };
    setFromHeader("organisation", "x-organisation");
    setFromHeader("team", "x-team");
    return SpecFromJson(aId, aObject);
  });
}

std::string
EncodeJobSpec(const JobSpec& aSpec)
{
  return ToText(SpecToJson(aSpec));
}

HttpResponse
EncodeJobReply(JobCommandKind aKind, const JobReply& aReply)
{
  if (aReply.Reason() != FailureReason::kNone) {
    return EncodeJobRefusal(aReply);
  }
  if (aKind == JobCommandKind::kList) {
    json jobs = json::array();
    for (const Job& job : aReply.Jobs()) {
      jobs.push_back(ToJson(job));
    }
    return HttpResponse::Json(200, ToText({ { "jobs", jobs } }));
  }
  if (aReply.Jobs().empty()) {
    return EncodeError(404, "unknown_job", "no job has this identifier");
  }
  json body = ToJson(aReply.Jobs().front());
  if (aKind == JobCommandKind::kExplain) {
    body["explanation"] = aReply.Detail();
  }
  const int status = aKind == JobCommandKind::kSubmit ? 201 : 200;
  return HttpResponse::Json(status, ToText(body));
}

} // namespace cornelrudder::protocol
