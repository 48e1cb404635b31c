#include "IoThreadImpl.h"

#include "cornelrudder/transport/TransportError.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace cornelrudder::transport {

namespace asio = boost::asio;

IoThread::Impl::Impl()
  : mContext(1)
  , mWork(asio::make_work_guard(mContext))
  , mThread([this] { mContext.run(); })
{
}

IoThread::Impl::~Impl()
{
  Stop();
}

void
IoThread::Impl::Stop()
{
  mWork.reset();
  mContext.stop();
  if (mThread.joinable() && mThread.get_id() != std::this_thread::get_id()) {
    mThread.join();
  }
}

void
IoThread::Impl::WatchSignals(std::function<void()> aFunction)
{
  boost::system::error_code ec;
  mSignals.emplace(mContext);
  mSignals->add(SIGTERM, ec);
  if (!ec) {
    mSignals->add(SIGINT, ec);
  }
  if (ec) {
    throw TransportError("cannot watch stop signals: " + ec.message());
  }
  mOnSignal = std::move(aFunction);
  WaitForSignal();
}

void
IoThread::Impl::WaitForSignal()
{
  mSignals->async_wait([this](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    mOnSignal();
    WaitForSignal();
  });
}

IoThread::IoThread()
  : mImpl(std::make_unique<Impl>())
{
}

IoThread::~IoThread() = default;

void
IoThread::Post(std::function<void()> aFunction)
{
  asio::post(mImpl->Context(), std::move(aFunction));
}

void
IoThread::PostAfter(std::chrono::milliseconds aDelay,
                    std::function<void()> aFunction)
{
  auto timer = std::make_shared<asio::steady_timer>(mImpl->Context(), aDelay);
  timer->async_wait(
    [timer, function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError) {
        function();
      }
    });
}

void
IoThread::WatchStopSignals(std::function<void()> aFunction)
{
  mImpl->WatchSignals(std::move(aFunction));
}

void
IoThread::Stop()
{
  mImpl->Stop();
}

} // namespace cornelrudder::transport
