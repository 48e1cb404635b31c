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

/** How long the parts of a planned stop may take. */
struct StopTimes
{
  /** From the signal until the listener closes: the balancer's reaction. */
  std::chrono::milliseconds mNotice;
  /** From then on for running exchanges. */
  std::chrono::milliseconds mGrace;
};

/** The planned stop of a daemon with one server for callers. */
class GracefulStop
{
public:
  /**
   * @param aThread Must outlive it, as must aServer and aLog.
   * @param aOnBegin Called on the I/O thread when the stop begins.
   */
  GracefulStop(transport::IoThread& aThread,
               transport::HttpServer& aServer,
               coordination::EventLog& aLog,
               StopTimes aTimes,
               std::function<void()> aOnBegin);

  /** Begins the stop; a repeated call has no effect. I/O thread only. */
  void Begin();

  /**
   * Watches the stop signals; a second one ends the grace at once.
   * @throws TransportError if the signals cannot be watched.
   */
  void WatchSignals();

  /** @return The number of exchanges cut off, once the stop has ended. */
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
  /** Both are used on the I/O thread only. */
  bool mStopping = false;
  bool mFinished = false;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_GRACEFUL_STOP_H
