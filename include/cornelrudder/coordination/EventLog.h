#ifndef CORNELRUDDER_COORDINATION_EVENT_LOG_H
#define CORNELRUDDER_COORDINATION_EVENT_LOG_H

#include "cornelrudder/coordination/LogEvent.h"

#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace cornelrudder::coordination {

/** A log line: an event and its fields in the order of output. */
class LogRecord
{
public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  LogRecord(LogEvent aEvent, Fields aFields)
    : mEvent(aEvent)
    , mFields(std::move(aFields))
  {
  }

  LogEvent Event() const { return mEvent; }
  const Fields& AllFields() const { return mFields; }

  auto operator<=>(const LogRecord&) const = default;

private:
  LogEvent mEvent;
  Fields mFields;
};

/** Destination of log records. */
class EventLog
{
public:
  virtual ~EventLog() = default;

  /** Writes one line; may be called from any thread. */
  virtual void Write(const LogRecord& aRecord) = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_EVENT_LOG_H
