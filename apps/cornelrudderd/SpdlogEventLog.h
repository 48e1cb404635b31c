#ifndef CORNELRUDDERD_SPDLOG_EVENT_LOG_H
#define CORNELRUDDERD_SPDLOG_EVENT_LOG_H

#include "cornelrudder/coordination/EventLog.h"

#include <cstdint>
#include <memory>
#include <string>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
} // namespace details
} // namespace spdlog

namespace cornelrudder::daemon {

/**
 * Writes events to standard output as key=value or JSON lines. A thread of its
 * own writes them, since a pipe whose reader has stopped blocks its writer. The
 * lines that wait for it are limited; beyond the limit, the oldest are dropped,
 * and one line tells their number when writing works again.
 */
class SpdlogEventLog final : public coordination::EventLog
{
public:
  /** Limit on the lines that wait to be written. */
  static constexpr std::size_t kMaxWaitingLines = 1'024;

  /**
   * @param aDaemon Identifier of the daemon, included in each line.
   * @param aLevel "info", "warning" or "error".
   * @param aJson Whether to write JSON lines instead of key=value lines.
   */
  SpdlogEventLog(std::string aDaemon, const std::string& aLevel, bool aJson);

  /** Writes what waits, but gives up soon if the reader has stopped. */
  ~SpdlogEventLog() override;

  SpdlogEventLog(const SpdlogEventLog&) = delete;
  SpdlogEventLog& operator=(const SpdlogEventLog&) = delete;

  void Write(const coordination::LogRecord& aRecord) override;

  /** @return Number of dropped lines; may be called from any thread. */
  std::uint64_t DroppedLines() const;

private:
  std::string mDaemon;
  bool mJson;
  std::shared_ptr<spdlog::details::thread_pool> mWriter;
  std::shared_ptr<spdlog::logger> mLogger;
};

/** @return The record as "event=NUMBER name=NAME key=value ...". */
std::string
FormatText(const coordination::LogRecord& aRecord);

/** @return The record as a JSON object. */
std::string
FormatJson(const coordination::LogRecord& aRecord);

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_SPDLOG_EVENT_LOG_H
