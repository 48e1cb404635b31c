#include "cornelrudderd/SpdlogEventLog.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <future>
#include <thread>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

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

/** How long the destructor waits for a reader that has stopped. */
constexpr std::chrono::milliseconds kCloseTime{ 500 };

/** @return The part of a line after the time and the level. */
std::string
Payload(const std::string& aDaemon,
        bool aJson,
        const coordination::LogRecord& aRecord)
{
  if (!aJson) {
    return "daemon=" + aDaemon + " " + FormatText(aRecord);
  }
  const std::string text = FormatJson(aRecord);
  return "\"daemon\":\"" + aDaemon + "\"," + text.substr(1, text.size() - 2);
}

/**
 * Writes lines to standard output without the buffer of the C library: its lock
 * is held during a blocked write, and the exit of the process waits for it.
 */
class StandardOutputSink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  /** @return The payload of a line that tells how many lines were dropped. */
  using DropReport = std::function<std::string(std::size_t aLines)>;

  StandardOutputSink(spdlog::details::thread_pool& aWriter, DropReport aReport)
    : mWriter(aWriter)
    , mReport(std::move(aReport))
  {
  }

private:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    ReportDroppedLines(aMessage);
    WriteLine(aMessage);
  }

  void flush_() override {}

  void ReportDroppedLines(const spdlog::details::log_msg& aNext)
  {
    const std::size_t dropped = mWriter.overrun_counter();
    // While many lines wait, more are dropped soon.
    const bool isCatchingUp =
      mWriter.queue_size() > SpdlogEventLog::kMaxWaitingLines / 2;
    if (dropped > mReported && !isCatchingUp) {
      const std::string payload = mReport(dropped - mReported);
      mReported = dropped;
      WriteLine(
        { aNext.time, {}, aNext.logger_name, spdlog::level::warn, payload });
    }
  }

  void WriteLine(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t buf;
    formatter_->format(aMessage, buf);
    const char* next = buf.data();
    std::size_t left = buf.size();
    while (left > 0) {
      const ssize_t n = write(STDOUT_FILENO, next, left);
      if (n > 0) {
        next += n;
        left -= static_cast<std::size_t>(n);
      } else if (n < 0 && errno == EAGAIN) {
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        poll(&output, 1, -1);
      } else if (n == 0 || errno != EINTR) {
        // Nobody reads; the line is lost.
        return;
      }
    }
  }

  /** Outlives the calls to the sink, which its thread makes. */
  spdlog::details::thread_pool& mWriter;
  DropReport mReport;
  std::size_t mReported = 0;
};

} // namespace

SpdlogEventLog::SpdlogEventLog(std::string aDaemon,
                               const std::string& aLevel,
                               bool aJson)
  : mDaemon(std::move(aDaemon))
  , mJson(aJson)
  , mWriter(std::make_shared<spdlog::details::thread_pool>(kMaxWaitingLines, 1))
  , mLogger(std::make_shared<spdlog::async_logger>(
      "cornelrudderd",
      std::make_shared<StandardOutputSink>(
        *mWriter,
        [daemon = mDaemon, aJson](std::size_t aLines) {
          return Payload(daemon,
                         aJson,
                         { coordination::LogEvent::kLogLinesDropped,
                           { { "lines", std::to_string(aLines) } } });
        }),
      mWriter,
      spdlog::async_overflow_policy::overrun_oldest))
{
  mLogger->set_level(spdlog::level::from_str(aLevel));
  const std::string pattern =
    mJson ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
          : "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v";
  mLogger->set_pattern(pattern);
}

SpdlogEventLog::~SpdlogEventLog()
{
  mLogger.reset();
  std::promise<void> closed;
  const std::future<void> isClosed = closed.get_future();
  // The destructor of the writer waits until all lines are written.
  std::thread([writer = std::move(mWriter),
               closed = std::move(closed)]() mutable {
    writer.reset();
    closed.set_value();
  }).detach();
  isClosed.wait_for(kCloseTime);
}

std::uint64_t
SpdlogEventLog::DroppedLines() const
{
  return mWriter->overrun_counter();
}

void
SpdlogEventLog::Write(const coordination::LogRecord& aRecord)
{
  const auto& info = coordination::InfoOf(aRecord.Event());
  const auto level = kLevels.at(static_cast<std::size_t>(info.mLevel));
  if (!mLogger->should_log(level)) {
    return;
  }
  mLogger->log(level, Payload(mDaemon, mJson, aRecord));
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
