#ifndef CORNELRUDDER_TRANSPORT_IO_THREAD_H
#define CORNELRUDDER_TRANSPORT_IO_THREAD_H

#include <chrono>
#include <functional>
#include <memory>

namespace cornelrudder::transport {

/**
 * The thread that runs all HTTP connections and timers of a process. It must
 * outlive the servers and clients that use it.
 */
class IoThread
{
public:
  class Impl;

  IoThread();
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /** Runs a function on the thread. */
  void Post(std::function<void()> aFunction);

  /** Runs a function on the thread after a delay. */
  void PostAfter(std::chrono::milliseconds aDelay,
                 std::function<void()> aFunction);

  /**
   * Calls a function on the thread for each SIGTERM and SIGINT.
   * @throws TransportError if the signals cannot be watched.
   */
  void WatchStopSignals(std::function<void()> aFunction);

  /**
   * Calls a function on the thread for each SIGHUP.
   * @throws TransportError if the signal cannot be watched.
   */
  void WatchReloadSignal(std::function<void()> aFunction);

  /** Stops the thread and waits for its end; pending work is dropped. */
  void Stop();

  Impl& Internal() { return *mImpl; }

private:
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_IO_THREAD_H
