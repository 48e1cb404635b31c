#ifndef CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H
#define CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H

#include "cornelrudder/transport/IoThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <optional>
#include <thread>
#include <vector>

namespace cornelrudder::transport {

class IoThread::Impl
{
public:
  Impl();
  ~Impl();

  boost::asio::io_context& Context() { return mContext; }
  void WatchStopSignals(std::function<void()> aFunction);
  void WatchReloadSignal(std::function<void()> aFunction);
  void Stop();

private:
  /** Signals and what is called for each of them. */
  struct SignalWatch
  {
    explicit SignalWatch(boost::asio::io_context& aContext)
      : mSignals(aContext)
    {
    }

    boost::asio::signal_set mSignals;
    std::function<void()> mOnSignal;
  };

  void Watch(std::optional<SignalWatch>& aWatch,
             const std::vector<int>& aSignals,
             std::function<void()> aFunction);
  void WaitForSignal(SignalWatch& aWatch);

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::optional<SignalWatch> mStopWatch;
  std::optional<SignalWatch> mReloadWatch;
  std::thread mThread;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H
