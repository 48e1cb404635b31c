#include "History.h"

#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace cornelrudder::history {

namespace {

using nlohmann::json;

CallOutcome
ParseOutcome(const std::string& aText)
{
  static const std::map<std::string, CallOutcome> kOutcomes{
    { "answered", CallOutcome::kAnswered },
    { "not_run", CallOutcome::kRefusedNotRun },
    { "unknown", CallOutcome::kRefusedUnknown },
    { "no_response", CallOutcome::kNoResponse },
  };
  return kOutcomes.at(aText);
}

void
AddCall(History& aHistory, const json& aLine)
{
  aHistory.mCalls.push_back({ aLine.at("request"),
                              aLine.at("key"),
                              aLine.at("body"),
                              ParseOutcome(aLine.at("end")),
                              aLine.at("answer") });
}

void
AddRun(History& aHistory, const json& aLine)
{
  aHistory.mRuns.push_back(
    { aLine.at("runner"), aLine.at("request"), aLine.at("body") });
}

void
AddSettingsRead(History& aHistory, const json& aLine)
{
  aHistory.mSettingsReads.push_back({ aLine.at("reader"),
                                      aLine.at("path"),
                                      aLine.at("version"),
                                      aLine.at("values") });
}

void
AddSettingsWrite(History& aHistory, const json& aLine)
{
  aHistory.mSettingsWrites.push_back(
    { aLine.at("path"), aLine.at("version"), aLine.at("values") });
}

void
AddMemberStep(History& aHistory, const json& aLine)
{
  aHistory.mMemberSteps.push_back({ aLine.at("worker"),
                                    aLine.at("gang"),
                                    aLine.at("attempt"),
                                    aLine.at("kind"),
                                    aLine.at("at_ms") });
}

void
AddJob(History& aHistory, const json& aLine)
{
  aHistory.mJobs.push_back({ aLine.at("job"),
                             aLine.at("members"),
                             aLine.at("state"),
                             aLine.at("ran") });
}

using LineReader = void (*)(History&, const json&);

const std::map<std::string, LineReader>&
LineReaders()
{
  static const std::map<std::string, LineReader> kReaders{
    { "call", AddCall },
    { "run", AddRun },
    { "settings_read", AddSettingsRead },
    { "settings_write", AddSettingsWrite },
    { "member_step", AddMemberStep },
    { "job", AddJob },
  };
  return kReaders;
}

} // namespace

History
ParseHistory(const std::string& aText)
{
  History history;
  std::istringstream text(aText);
  std::string line;
  for (int n = 1; std::getline(text, line); ++n) {
    if (line.empty()) {
      continue;
    }
    try {
      const json object = json::parse(line);
      LineReaders().at(object.at("type").get<std::string>())(history, object);
    } catch (const std::exception& error) {
      throw std::runtime_error("line " + std::to_string(n) + ": " +
                               error.what());
    }
  }
  return history;
}

} // namespace cornelrudder::history
