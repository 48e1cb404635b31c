#ifndef CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H
#define CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H

#include "cornelrudder/transport/IoThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <optional>
#include <thread>

namespace cornelrudder::transport {

class IoThread::Impl
{
public:
  Impl();
  ~Impl();

  boost::asio::io_context& Context() { return mContext; }
  void WatchSignals(std::function<void()> aFunction);
  void Stop();

private:
  void WaitForSignal();

  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::optional<boost::asio::signal_set> mSignals;
  std::function<void()> mOnSignal;
  std::thread mThread;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_IO_THREAD_IMPL_H
