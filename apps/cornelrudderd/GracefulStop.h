#ifndef CORNELRUDDERD_GRACEFUL_STOP_H
#define CORNELRUDDERD_GRACEFUL_STOP_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/IoThread.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <future>

namespace cornelrudder::daemon {

/** Durations of the phases of a graceful shutdown. */
struct StopTimes
{
  /** From the signal until the listener closes, so the balancer can react. */
  std::chrono::milliseconds mNotice;
  /** From then until running exchanges are interrupted. */
  std::chrono::milliseconds mGrace;
};

/** Graceful shutdown of a daemon with one HTTP server for callers. */
class GracefulStop
{
public:
  /**
   * @param aThread Must outlive this object, as must aServer and aLog.
   * @param aOnBegin Called on the I/O thread when the shutdown starts.
   */
  GracefulStop(transport::IoThread& aThread,
               transport::HttpServer& aServer,
               coordination::EventLog& aLog,
               StopTimes aTimes,
               std::function<void()> aOnBegin);

  /** Starts the shutdown; repeated calls have no effect. I/O thread only. */
  void Begin();

  /**
   * Starts the shutdown on a stop signal; a second signal ends the grace period
   * immediately.
   * @throws TransportError if the signals cannot be watched.
   */
  void WatchSignals();

  /**
   * Blocks until the shutdown has completed.
   * @return The number of exchanges that it interrupted.
   */
  std::size_t Wait();

private:
  void Drain(std::chrono::milliseconds aGrace);
  void Finish(std::size_t aCutOff);

  transport::IoThread& mThread;
  transport::HttpServer& mServer;
  coordination::EventLog& mLog;
  StopTimes mTimes;
  std::function<void()> mOnBegin;
  std::promise<std::size_t> mDone;
  /** mStopping and mFinished are used on the I/O thread only. */
  bool mStopping = false;
  bool mFinished = false;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_GRACEFUL_STOP_H
