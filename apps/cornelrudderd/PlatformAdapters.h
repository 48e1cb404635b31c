#ifndef CORNELRUDDERD_PLATFORM_ADAPTERS_H
#define CORNELRUDDERD_PLATFORM_ADAPTERS_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/FleetPort.h"
#include "cornelrudder/coordination/StorePort.h"
#include "cornelrudder/transport/HttpClient.h"

#include <chrono>
#include <string>

namespace cornelrudder::daemon {

/** Accesses the platform's table over HTTP. */
class StoreAdapter final : public coordination::StorePort
{
public:
  /** @param aClient Must outlive the adapter. */
  StoreAdapter(transport::HttpClient& aClient,
               std::string aAddress,
               std::chrono::milliseconds aTimeout);

  void ReadRow(const std::string& aKey, Completion aCompletion) override;
  void ListRows(const std::string& aPrefix, Completion aCompletion) override;
  void Transact(const state::Transaction& aTransaction,
                Completion aCompletion) override;

private:
  void Send(protocol::HttpRequest aRequest,
            bool aIsWrite,
            Completion aCompletion);

  transport::HttpClient& mClient;
  std::string mAddress;
  std::chrono::milliseconds mTimeout;
};

/** Reads the platform's list of VMs over HTTP. */
class FleetAdapter final : public coordination::FleetPort
{
public:
  /** @param aThread Must outlive the adapter, as must aClient and aLog. */
  FleetAdapter(transport::IoThread& aThread,
               transport::HttpClient& aClient,
               std::string aAddress,
               std::chrono::milliseconds aTimeout,
               coordination::EventLog& aLog);

  void ListVms(Completion aCompletion) override;

private:
  void Send(Completion aCompletion);

  /** @return The cached list after a response, or nothing on failure. */
  std::optional<state::VmList> Update(const transport::HttpResult& aResult);

  transport::IoThread& mThread;
  transport::HttpClient& mClient;
  std::string mAddress;
  std::chrono::milliseconds mTimeout;
  coordination::EventLog& mLog;
  /** The cached list and its entity tag; used on the I/O thread only. */
  state::VmList mList;
  std::string mEtag;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_PLATFORM_ADAPTERS_H
