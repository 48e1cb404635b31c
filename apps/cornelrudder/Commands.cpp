#include "cornelrudder/Commands.h"

#include "cornelrudder/protocol/SettingsCodec.h"

#include <array>
#include <charconv>
#include <cstdio>

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

/** Prints the body: to standard output if it is what was asked for. */
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
      throw UsageError("\"" + word + "\": allowed is KEY=VALUE");
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
Metrics(ServerConnection& aServer, const CommandInput& /*aInput*/)
{
  return Get(aServer, "/metrics");
}

constexpr std::array kCommands{
  Command{ "settings", "list", "", "paths and versions", ListSettings },
  Command{ "settings", "get", "PATH", "one document", GetSettings },
  Command{ "settings",
           "set",
           "PATH KEY=VALUE...",
           "replace a document; --version is the one that is changed",
           SetSettings },
  Command{ "request",
           "run",
           "CLASS",
           "run a request and print the answer",
           RunRequest },
  Command{ "counters", "show", "", "counters of the daemon", Metrics },
};

} // namespace

std::span<const Command>
AllCommands()
{
  return kCommands;
}

} // namespace cornelrudder::cli
