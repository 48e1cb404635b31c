#include "cornelrudderd/GracefulStop.h"

#include <string>

namespace cornelrudder::daemon {

using coordination::LogEvent;

GracefulStop::GracefulStop(transport::IoThread& aThread,
                           transport::HttpServer& aServer,
                           coordination::EventLog& aLog,
                           StopTimes aTimes,
                           std::function<void()> aOnBegin)
  : mThread(aThread)
  , mServer(aServer)
  , mLog(aLog)
  , mTimes(aTimes)
  , mOnBegin(std::move(aOnBegin))
{
}

void
GracefulStop::WatchSignals()
{
  mThread.WatchStopSignals([this] {
    if (mStopping) {
      Drain(std::chrono::milliseconds(0));
      return;
    }
    Begin();
  });
}

void
GracefulStop::Begin()
{
  if (mStopping) {
    return;
  }
  mStopping = true;
  mLog.Write({ LogEvent::kStopping, {} });
  mOnBegin();
  mThread.PostAfter(mTimes.mNotice, [this] { Drain(mTimes.mGrace); });
}

/** A repeated call replaces the grace period. */
void
GracefulStop::Drain(std::chrono::milliseconds aGrace)
{
  // After completion, the main thread destroys the server.
  if (mFinished) {
    return;
  }
  mServer.Drain(aGrace, [this](std::size_t aCutOff) { Finish(aCutOff); });
}

void
GracefulStop::Finish(std::size_t aCutOff)
{
  if (!mFinished) {
    mFinished = true;
    mDone.set_value(aCutOff);
  }
}

std::size_t
GracefulStop::Wait()
{
  const std::size_t cutOff = mDone.get_future().get();
  if (cutOff > 0) {
    mLog.Write(
      { LogEvent::kCutOff, { { "requests", std::to_string(cutOff) } } });
  }
  mLog.Write({ LogEvent::kStopped, {} });
  return cutOff;
}

} // namespace cornelrudder::daemon
