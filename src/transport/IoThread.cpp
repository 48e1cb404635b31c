#include "IoThreadImpl.h"

#include "cornelrudder/transport/TransportError.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <string>

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
IoThread::Impl::WatchStopSignals(std::function<void()> aFunction)
{
  Watch(mStopWatch, { SIGTERM, SIGINT }, std::move(aFunction));
}

void
IoThread::Impl::WatchReloadSignal(std::function<void()> aFunction)
{
  Watch(mReloadWatch, { SIGHUP }, std::move(aFunction));
}

void
IoThread::Impl::Watch(std::optional<SignalWatch>& aWatch,
                      const std::vector<int>& aSignals,
                      std::function<void()> aFunction)
{
  aWatch.emplace(mContext);
  for (const int signal : aSignals) {
    boost::system::error_code ec;
    aWatch->mSignals.add(signal, ec);
    if (ec) {
      throw TransportError("cannot watch signal " + std::to_string(signal) +
                           ": " + ec.message());
    }
  }
  aWatch->mOnSignal = std::move(aFunction);
  WaitForSignal(*aWatch);
}

void
IoThread::Impl::WaitForSignal(SignalWatch& aWatch)
{
  aWatch.mSignals.async_wait(
    [this, &aWatch](boost::system::error_code aError, int) {
      if (aError) {
        return;
      }
      aWatch.mOnSignal();
      WaitForSignal(aWatch);
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
  mImpl->WatchStopSignals(std::move(aFunction));
}

void
IoThread::WatchReloadSignal(std::function<void()> aFunction)
{
  mImpl->WatchReloadSignal(std::move(aFunction));
}

void
IoThread::Stop()
{
  mImpl->Stop();
}

} // namespace cornelrudder::transport
