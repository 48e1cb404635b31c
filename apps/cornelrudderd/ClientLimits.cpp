#include "cornelrudderd/ClientLimits.h"

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/LogEvent.h"
#include "cornelrudder/coordination/SchedulingMessages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>

#include <algorithm>

namespace cornelrudder::daemon {

using coordination::LogEvent;

namespace {

constexpr std::size_t kMaxMonitoringConnections = 64;
constexpr std::uint64_t kMaxMonitoringBodyBytes = 4'096;

void
LogOverload(coordination::EventLog& aLog,
            const transport::OverloadReport& aReport)
{
  const LogEvent event = aReport.mHasEnded ? LogEvent::kHttpOverloadEnded
                                           : LogEvent::kHttpOverloaded;
  aLog.Write({ event,
               { { "connections", std::to_string(aReport.mConnections) },
                 { "bytes", std::to_string(aReport.mBytes) },
                 { "displaced", std::to_string(aReport.mDisplaced) },
                 { "rejected", std::to_string(aReport.mRejected) } } });
}

} // namespace

transport::HttpServerLimits
MonitoringLimits(const DaemonSettings& aSettings)
{
  transport::HttpServerLimits limits = aSettings.HttpLimits();
  limits.mMaxConnections =
    std::min(limits.mMaxConnections, kMaxMonitoringConnections);
  limits.mMaxBodyBytes =
    std::min(limits.mMaxBodyBytes, kMaxMonitoringBodyBytes);
  return limits;
}

std::shared_ptr<transport::ConnectionLimiter>
MakeConnectionLimiter(transport::IoThread& aThread,
                      const DaemonSettings& aSettings,
                      coordination::EventLog& aLog)
{
  return std::make_shared<transport::ConnectionLimiter>(
    aThread,
    aSettings.ConnectionBytes(),
    [&aLog](const transport::OverloadReport& aReport) {
      LogOverload(aLog, aReport);
    });
}

caf::actor
SpawnBodyLimitTask(caf::actor_system& aSystem,
                   const caf::actor& aCatalog,
                   std::function<void(std::uint64_t)> aSetBodyLimit)
{
  caf::actor task =
    aSystem.spawn([setLimit = std::move(aSetBodyLimit)](
                    caf::event_based_actor* /*aSelf*/) -> caf::behavior {
      return { [setLimit](const coordination::CatalogView& aView) {
        if (aView.mCatalog) {
          setLimit(aView.mCatalog->Limits().mMaxBodyBytes);
        }
      } };
    });
  caf::anon_send(aCatalog, coordination::Subscribe{ task });
  return task;
}

} // namespace cornelrudder::daemon
