#ifndef CORNELRUDDER_COORDINATION_LOG_EVENT_H
#define CORNELRUDDER_COORDINATION_LOG_EVENT_H

#include <span>
#include <string_view>

namespace cornelrudder::coordination {

enum class LogLevel
{
  kInfo,
  kWarning,
  kError
};

/** Numbered events; the number never changes and is never used again. */
enum class LogEvent
{
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kCutOff = 103,
  kBadSettingsFile = 104,
  kRouted = 200,
  kRouteRefused = 201,
  kRunnerResult = 202,
  kRequestQueued = 203,
  kRetryDecided = 204,
  kRunnerLeaving = 205,
  kRunnerQuarantined = 206,
  kRunnerRecovered = 207,
  kAdmissionChanged = 208,
  kSettingsApplied = 300,
  kSettingsChanged = 301,
  kSettingsConflict = 302,
  kSettingsRejected = 303,
  kFleetChanged = 400,
  kFleetUnavailable = 401,
  kStoreUnavailable = 500
};

/** Row of the event table. */
struct LogEventInfo
{
  LogEvent mEvent;
  LogLevel mLevel;
  std::string_view mName;
  std::string_view mDescription;
};

/** @return All events in order of their numbers. */
std::span<const LogEventInfo>
AllLogEvents();

/** @return The row of an event. */
const LogEventInfo&
InfoOf(LogEvent aEvent);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_LOG_EVENT_H
