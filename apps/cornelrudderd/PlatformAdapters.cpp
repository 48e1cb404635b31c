#include "cornelrudderd/PlatformAdapters.h"

#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/protocol/StoreCodec.h"

namespace cornelrudder::daemon {

using state::StoreResult;
using state::StoreStatus;

namespace {

StoreResult
ToStoreResult(const transport::HttpResult& aResult, bool aIsWrite)
{
  const StoreStatus failureStatus =
    aIsWrite ? StoreStatus::kOutcomeUnknown : StoreStatus::kUnavailable;
  if (aResult.Failure() == transport::HttpFailure::kNotSent) {
    return { StoreStatus::kUnavailable, {} };
  }
  if (aResult.Failure() != transport::HttpFailure::kNone) {
    return { failureStatus, {} };
  }
  try {
    StoreResult result = protocol::DecodeStoreResponse(aResult.Response());
    // The platform may return an error status after a write took effect.
    if (result.Status() == StoreStatus::kUnavailable) {
      return { failureStatus, {} };
    }
    return result;
  } catch (const protocol::ProtocolError&) {
    return { failureStatus, {} };
  }
}

} // namespace

StoreAdapter::StoreAdapter(transport::HttpClient& aClient,
                           std::string aAddress,
                           std::chrono::milliseconds aTimeout)
  : mClient(aClient)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

void
StoreAdapter::ReadRow(const std::string& aKey, Completion aCompletion)
{
  Send(protocol::EncodeReadRow(aKey), false, std::move(aCompletion));
}

void
StoreAdapter::ListRows(const std::string& aPrefix, Completion aCompletion)
{
  Send(protocol::EncodeListRows(aPrefix), false, std::move(aCompletion));
}

void
StoreAdapter::Transact(const state::Transaction& aTransaction,
                       Completion aCompletion)
{
  Send(protocol::EncodeTransaction(aTransaction), true, std::move(aCompletion));
}

void
StoreAdapter::Send(protocol::HttpRequest aRequest,
                   bool aIsWrite,
                   Completion aCompletion)
{
  mClient.Send(mAddress,
               std::move(aRequest),
               { mTimeout, true },
               [aIsWrite, completion = std::move(aCompletion)](
                 const transport::HttpResult& aResult) {
                 completion(ToStoreResult(aResult, aIsWrite));
               });
}

FleetAdapter::FleetAdapter(transport::IoThread& aThread,
                           transport::HttpClient& aClient,
                           std::string aAddress,
                           std::chrono::milliseconds aTimeout,
                           coordination::EventLog& aLog)
  : mThread(aThread)
  , mClient(aClient)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
  , mLog(aLog)
{
}

void
FleetAdapter::ListVms(Completion aCompletion)
{
  mThread.Post([this, completion = std::move(aCompletion)]() mutable {
    Send(std::move(completion));
  });
}

void
FleetAdapter::Send(Completion aCompletion)
{
  mClient.Send(
    mAddress,
    protocol::EncodeListVms(mEtag),
    { mTimeout, true },
    [this, completion = std::move(aCompletion)](
      const transport::HttpResult& aResult) { completion(Update(aResult)); });
}

std::optional<state::VmList>
FleetAdapter::Update(const transport::HttpResult& aResult)
{
  if (aResult.Failure() != transport::HttpFailure::kNone) {
    return std::nullopt;
  }
  if (protocol::IsNotModified(aResult.Response())) {
    return mList;
  }
  const auto logMalformed = [this](const std::string& aError) {
    mLog.Write(
      { coordination::LogEvent::kRowMalformed, { { "error", aError } } });
  };
  try {
    mList = protocol::DecodeVmList(aResult.Response(), logMalformed);
    mEtag = aResult.Response().Header("etag");
    return mList;
  } catch (const protocol::ProtocolError& error) {
    logMalformed(error.what());
    return std::nullopt;
  }
}

} // namespace cornelrudder::daemon
