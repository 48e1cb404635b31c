#ifndef CORNELRUDDERD_SPDLOG_EVENT_LOG_H
#define CORNELRUDDERD_SPDLOG_EVENT_LOG_H

#include "cornelrudder/coordination/EventLog.h"

#include <memory>
#include <string>

namespace spdlog {
class logger;
} // namespace spdlog

namespace cornelrudder::daemon {

/** Writes events to standard output as key=value or JSON lines. */
class SpdlogEventLog final : public coordination::EventLog
{
public:
  /**
   * @param aDaemon Identifier of the daemon, included in each line.
   * @param aLevel "info", "warning" or "error".
   * @param aJson Whether to write JSON lines instead of key=value lines.
   */
  SpdlogEventLog(std::string aDaemon, const std::string& aLevel, bool aJson);

  void Write(const coordination::LogRecord& aRecord) override;

private:
  std::shared_ptr<spdlog::logger> mLogger;
  std::string mDaemon;
  bool mJson;
};

/** @return The record as "event=NUMBER name=NAME key=value ...". */
std::string
FormatText(const coordination::LogRecord& aRecord);

/** @return The record as a JSON object. */
std::string
FormatJson(const coordination::LogRecord& aRecord);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_SPDLOG_EVENT_LOG_H
