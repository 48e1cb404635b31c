#include "cornelrudder/Commands.h"

#include "cornelrudder/protocol/SettingsCodec.h"

#include "cornelrudder/state/Ids.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

namespace cornelrudder::cli {

namespace {

int
ExitStatusOf(const protocol::HttpResponse& aResponse)
{
  const int status = aResponse.Status();
  if (status >= 200 && status < 300) {
    return kExitOk;
  }
  if (status == 409) {
    return kExitConflict;
  }
  return status == 400 || status == 404 || status == 405 || status == 428
           ? kExitBadInput
           : kExitRefused;
}

/**
 * Prints the body of a response to standard output on success, else to standard
 * error.
 * @return The exit status.
 */
int
Print(const protocol::HttpResponse& aResponse)
{
  const int status = ExitStatusOf(aResponse);
  std::fprintf(
    status == kExitOk ? stdout : stderr, "%s\n", aResponse.Body().c_str());
  return status;
}

int
Get(ServerConnection& aServer, const std::string& aTarget)
{
  return Print(aServer.Send({ "GET", aTarget, {}, "" }));
}

state::SettingValue
ParseValue(const std::string& aText)
{
  if (aText == "true" || aText == "false") {
    return aText == "true";
  }
  std::int64_t n = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  if (!aText.empty() && ec == std::errc() && rest == end) {
    return n;
  }
  return aText;
}

int
ListSettings(ServerConnection& aServer, const CommandInput& /*aInput*/)
{
  return Get(aServer, "/v1/settings");
}

int
GetSettings(ServerConnection& aServer, const CommandInput& aInput)
{
  return Get(aServer, "/v1/settings/" + aInput.mWords.at(0));
}

int
SetSettings(ServerConnection& aServer, const CommandInput& aInput)
{
  state::SettingValues values;
  for (std::size_t i = 1; i < aInput.mWords.size(); ++i) {
    const std::string& word = aInput.mWords[i];
    const auto n = word.find('=');
    if (n == std::string::npos) {
      throw UsageError("argument \"" + word +
                       "\": missing \"=\"; allowed is KEY=VALUE");
    }
    values.emplace(word.substr(0, n), ParseValue(word.substr(n + 1)));
  }
  return Print(aServer.Send(
    { "PUT",
      "/v1/settings/" + aInput.mWords.at(0),
      { { "if-match", aInput.mVersion }, { "x-operator", aInput.mOperator } },
      protocol::EncodeSettingValues(values) }));
}

int
RunRequest(ServerConnection& aServer, const CommandInput& aInput)
{
  protocol::HttpHeaders headers{ { "x-organisation", aInput.mOrganisation },
                                 { "x-team", aInput.mTeam } };
  if (!aInput.mKey.empty()) {
    headers.emplace("idempotency-key", aInput.mKey);
  }
  return Print(aServer.Send({ "POST",
                              "/v1/requests/" + aInput.mWords.at(0),
                              std::move(headers),
                              aInput.mBody }));
}

int
ShowCounters(ServerConnection& aServer, const CommandInput& /*aInput*/)
{
  return Get(aServer, "/metrics");
}

int
ParseNumber(const std::string& aOption, const std::string& aText)
{
  int n = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, n);
  if (aText.empty() || ec != std::errc() || rest != end || n < 0) {
    throw UsageError("--" + aOption + " \"" + aText +
                     "\": allowed is an integer from 0 to 2147483647");
  }
  return n;
}

int
SubmitJob(ServerConnection& aServer, const CommandInput& aInput)
{
  const nlohmann::json body{
    { "organisation", aInput.mOrganisation },
    { "team", aInput.mTeam },
    { "class", aInput.mWords.at(0) },
    { "workers", ParseNumber("workers", aInput.mWorkers) },
    { "accelerators_per_worker",
      ParseNumber("accelerators", aInput.mAccelerators) },
    { "adjacency", aInput.mAdjacency },
    { "expected_seconds", ParseNumber("expected", aInput.mExpected) },
    { "key", aInput.mKey }
  };
  return Print(aServer.Send({ "POST", "/v1/jobs", {}, body.dump() }));
}

std::string
JobTarget(const CommandInput& aInput)
{
  const std::string& id = aInput.mWords.at(0);
  if (!state::IsValidId(id)) {
    throw UsageError("JOB \"" + id +
                     "\": allowed is a job identifier of 1 to 64 characters of "
                     "A-Z a-z 0-9 . _ -");
  }
  return "/v1/jobs/" + id;
}

int
JobStatus(ServerConnection& aServer, const CommandInput& aInput)
{
  return Print(aServer.Send({ "GET", JobTarget(aInput), {}, "" }));
}

/**
 * Polls until the job reaches a final state.
 * @return kExitOk only if that state is "done".
 */
int
WaitForJob(ServerConnection& aServer, const CommandInput& aInput)
{
  constexpr std::chrono::milliseconds kPollInterval{ 500 };
  while (true) {
    const auto response = aServer.Send({ "GET", JobTarget(aInput), {}, "" });
    const auto job = nlohmann::json::parse(response.Body(), nullptr, false);
    const bool isJob =
      job.is_object() && job.contains("state") && job.at("state").is_string();
    const bool readable = response.Status() == 200 && isJob;
    const std::string state =
      readable ? job.at("state").get<std::string>() : "";
    if (state == "done") {
      return Print(response);
    }
    const bool isMalformed = response.Status() == 200 && !isJob;
    const bool ended = isMalformed || state == "failed" || state == "refused" ||
                       state == "cancelled";
    if (ended) {
      std::fprintf(stderr, "%s\n", response.Body().c_str());
      return kExitRefused;
    }
    // During a takeover no daemon can look up the job and the response is 503.
    if (!readable && response.Status() != 503) {
      return Print(response);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

int
CancelJob(ServerConnection& aServer, const CommandInput& aInput)
{
  return Print(aServer.Send({ "DELETE", JobTarget(aInput), {}, "" }));
}

int
ListJobs(ServerConnection& aServer, const CommandInput& /*aInput*/)
{
  return Print(aServer.Send({ "GET", "/v1/jobs", {}, "" }));
}

int
ExplainJob(ServerConnection& aServer, const CommandInput& aInput)
{
  return Print(aServer.Send({ "GET", JobTarget(aInput) + "/explain", {}, "" }));
}

int
ListVms(ServerConnection& aServer, const CommandInput& /*aInput*/)
{
  return Get(aServer, "/v1/fleet");
}

/** @return All zones that have a VM or are evacuated. */
std::set<std::string>
KnownZones(const nlohmann::json& aFleet)
{
  std::set<std::string> zones = aFleet.at("evacuated_zones");
  for (const auto& vm : aFleet.at("vms")) {
    zones.insert(vm.at("zone").get<std::string>());
  }
  return zones;
}

/** @throws UsageError if the daemon knows the zones and this is not one. */
void
CheckZone(const std::string& aZone, const nlohmann::json& aFleet)
{
  const std::set<std::string> zones = KnownZones(aFleet);
  if (aFleet.at("vms").empty() || zones.contains(aZone)) {
    return;
  }
  std::string allowed;
  for (const std::string& zone : zones) {
    allowed += (allowed.empty() ? "" : ", ") + zone;
  }
  throw UsageError("ZONE \"" + aZone +
                   "\": no VM is in this availability zone; allowed are " +
                   allowed);
}

/** Reads the version of the zone's document, then replaces that version. */
int
WriteZone(ServerConnection& aServer,
          const std::string& aZone,
          const CommandInput& aInput)
{
  const std::string target = "/v1/settings/zones/" + aZone;
  const auto current = aServer.Send({ "GET", target, {}, "" });
  std::uint64_t version = 0;
  if (current.Status() == 200) {
    version = nlohmann::json::parse(current.Body()).at("version");
  } else if (current.Status() != 404) {
    return Print(current);
  }
  return Print(aServer.Send(
    { "PUT",
      target,
      { { "if-match", std::to_string(version) },
        { "x-operator", aInput.mOperator } },
      protocol::EncodeSettingValues({ { "evacuated", !aInput.mReturn } }) }));
}

int
EvacuateZone(ServerConnection& aServer, const CommandInput& aInput)
{
  const std::string& zone = aInput.mWords.at(0);
  if (aInput.mWords.size() > 1) {
    throw UsageError("argument \"" + aInput.mWords[1] +
                     "\" after ZONE: allowed is one availability zone");
  }
  if (!state::IsValidId(zone)) {
    throw UsageError("ZONE \"" + zone +
                     "\": allowed is a name of 1 to 64 characters of A-Z a-z "
                     "0-9 . _ -");
  }
  const auto fleet = aServer.Send({ "GET", "/v1/fleet", {}, "" });
  if (fleet.Status() != 200) {
    return Print(fleet);
  }
  try {
    CheckZone(zone, nlohmann::json::parse(fleet.Body()));
    return WriteZone(aServer, zone, aInput);
  } catch (const nlohmann::json::exception& error) {
    std::fprintf(
      stderr, "cornelrudder: malformed response: %s\n", error.what());
    return kExitRefused;
  }
}

constexpr std::array kCommands{
  Command{ "settings",
           "list",
           "",
           "list the paths and versions of all documents",
           ListSettings },
  Command{ "settings", "get", "PATH", "print one document", GetSettings },
  Command{ "settings",
           "set",
           "PATH KEY=VALUE...",
           "replace a document; --version-of is the version it replaces",
           SetSettings },
  Command{ "request",
           "run",
           "CLASS",
           "run a request and print the response body",
           RunRequest },
  Command{ "counters",
           "show",
           "",
           "print the metrics of the daemon",
           ShowCounters },
  Command{ "job", "submit", "CLASS", "submit a gang job", SubmitJob },
  Command{ "job", "status", "JOB", "print the state of a job", JobStatus },
  Command{ "job",
           "wait",
           "JOB",
           "wait until a job ends; the exit status is 0 if it is done",
           WaitForJob },
  Command{ "job", "cancel", "JOB", "cancel a job", CancelJob },
  Command{ "job", "list", "", "list all jobs of the region", ListJobs },
  Command{ "job",
           "explain",
           "JOB",
           "print why a job waits or ended; short form: \"explain JOB\"",
           ExplainJob },
  Command{ "vm",
           "list",
           "",
           "list the VMs and evacuated zones; short form: \"fleet\"",
           ListVms },
  Command{ "zone",
           "evacuate",
           "ZONE",
           "send nothing new to an availability zone; --return ends this; "
           "short form: \"evacuate ZONE\"",
           EvacuateZone },
};

} // namespace

std::span<const Command>
AllCommands()
{
  return kCommands;
}

} // namespace cornelrudder::cli
