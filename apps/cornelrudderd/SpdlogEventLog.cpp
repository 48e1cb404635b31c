#include "cornelrudderd/SpdlogEventLog.h"

#include <array>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cornelrudder::daemon {

namespace {

/** Indexed by LogLevel. */
constexpr std::array kLevels{ spdlog::level::info,
                              spdlog::level::warn,
                              spdlog::level::err };

/** Quotes a value that would make a key=value line ambiguous. */
std::string
Quote(const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" =\"\\\n\r\t") == std::string::npos) {
    return aValue;
  }
  return nlohmann::json(aValue).dump(
    -1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

SpdlogEventLog::SpdlogEventLog(std::string aDaemon,
                               const std::string& aLevel,
                               bool aJson)
  : mLogger(std::make_shared<spdlog::logger>(
      "cornelrudderd",
      std::make_shared<spdlog::sinks::stdout_sink_mt>()))
  , mDaemon(std::move(aDaemon))
  , mJson(aJson)
{
  mLogger->set_level(spdlog::level::from_str(aLevel));
  mLogger->flush_on(spdlog::level::info);
  const std::string pattern =
    mJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
          : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v";
  mLogger->set_pattern(pattern);
}

void
SpdlogEventLog::Write(const coordination::LogRecord& aRecord)
{
  const auto& info = coordination::InfoOf(aRecord.Event());
  const auto level = kLevels.at(static_cast<std::size_t>(info.mLevel));
  if (!mLogger->should_log(level)) {
    return;
  }
  if (mJson) {
    const std::string text = FormatJson(aRecord);
    mLogger->log(
      level, "\"daemon\":\"{}\",{}", mDaemon, text.substr(1, text.size() - 2));
    return;
  }
  mLogger->log(level, "daemon={} {}", mDaemon, FormatText(aRecord));
}

std::string
FormatText(const coordination::LogRecord& aRecord)
{
  const auto& info = coordination::InfoOf(aRecord.Event());
  std::string text = "event=" + std::to_string(static_cast<int>(info.mEvent)) +
                     " name=" + std::string(info.mName);
  for (const auto& [key, value] : aRecord.AllFields()) {
    text += " " + key + "=" + Quote(value);
  }
  return text;
}

std::string
FormatJson(const coordination::LogRecord& aRecord)
{
  const auto& info = coordination::InfoOf(aRecord.Event());
  nlohmann::ordered_json object;
  object["event"] = static_cast<int>(info.mEvent);
  object["name"] = info.mName;
  for (const auto& [key, value] : aRecord.AllFields()) {
    object[key] = value;
  }
  return object.dump(
    -1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace cornelrudder::daemon
