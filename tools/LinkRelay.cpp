#include "LinkRelay.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelrudder::tools {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kChunkBytes = 16ULL * 1024;

/** A direction stops reading while more bytes than this are buffered. */
constexpr std::size_t kMaxBufferedBytes = 1024ULL * 1024;

struct FaultName
{
  std::string_view mName;
  std::int64_t LinkFaults::*mMember;
  std::int64_t mMaximum;
};

constexpr std::array kFaultNames{
  FaultName{ "min_delay_ms", &LinkFaults::mMinDelayMs, 60'000 },
  FaultName{ "max_delay_ms", &LinkFaults::mMaxDelayMs, 60'000 },
  FaultName{ "loss_per_mille", &LinkFaults::mLossPerMille, 1'000 },
  FaultName{ "cut", &LinkFaults::mCut, 1 },
  FaultName{ "stall", &LinkFaults::mStall, 1 },
};

tcp::endpoint
ParseAddress(const std::string& aText)
{
  const auto n = aText.rfind(':');
  error_code ec;
  const auto ip = asio::ip::make_address(aText.substr(0, n), ec);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const char* begin = n == std::string::npos ? end : aText.data() + n + 1;
  const auto [rest, portError] = std::from_chars(begin, end, port);
  if (ec || begin == end || portError != std::errc() || rest != end) {
    throw std::runtime_error("address \"" + aText +
                             "\": allowed is IP:PORT, such as 127.0.0.1:80");
  }
  return { ip, port };
}

/** The current faults and the delay generator; used on one thread only. */
class LinkModel
{
public:
  LinkModel(const LinkFaults& aFaults, std::uint64_t aSeed)
    : mFaults(aFaults)
    , mRandom(aSeed)
  {
  }

  const LinkFaults& Faults() const { return mFaults; }
  void SetFaults(const LinkFaults& aFaults) { mFaults = aFaults; }

  std::chrono::milliseconds NextDelay()
  {
    std::uniform_int_distribution<std::int64_t> delay(mFaults.mMinDelayMs,
                                                      mFaults.mMaxDelayMs);
    std::uniform_int_distribution<std::int64_t> loss(0, 999);
    const bool lost = loss(mRandom) < mFaults.mLossPerMille;
    return std::chrono::milliseconds(delay(mRandom) +
                                     (lost ? kRetransmitMs : 0));
  }

private:
  LinkFaults mFaults;
  std::mt19937_64 mRandom;
};

/** A client connection and the connection to the target it is relayed to. */
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::io_context& aContext, tcp::socket aClient, LinkModel& aModel)
    : mContext(aContext)
    , mClient(std::move(aClient))
    , mTarget(aContext)
    , mModel(aModel)
    , mToTarget(aContext)
    , mToClient(aContext)
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    Spawn([aTarget](Link& aSelf, const asio::yield_context& aYield) {
      error_code ec;
      aSelf.mTarget.async_connect(aTarget, aYield[ec]);
      if (ec) {
        aSelf.Close();
        return;
      }
      aSelf.StartDirection(aSelf.mClient, aSelf.mTarget, aSelf.mToTarget);
      aSelf.StartDirection(aSelf.mTarget, aSelf.mClient, aSelf.mToClient);
    });
  }

  void Close()
  {
    mClosed = true;
    error_code ec;
    mClient.close(ec);
    mTarget.close(ec);
    Wake();
  }

  bool Closed() const { return mClosed; }

  /** Makes both directions re-evaluate the current faults. */
  void Wake()
  {
    for (Direction* direction : { &mToTarget, &mToClient }) {
      direction->mReadable.cancel();
      direction->mWritable.cancel();
    }
  }

private:
  struct Chunk
  {
    std::vector<char> mBytes;
    Clock::time_point mDue;
  };

  struct Direction
  {
    explicit Direction(asio::io_context& aContext)
      : mReadable(aContext)
      , mWritable(aContext)
    {
    }

    std::deque<Chunk> mChunks;
    std::size_t mBufferedBytes = 0;
    bool mEnded = false;
    Clock::time_point mLastDue;
    /** Cancelled to wake the writer, which waits for chunks. */
    asio::steady_timer mReadable;
    /** Cancelled to wake the reader, which waits for buffer space. */
    asio::steady_timer mWritable;
  };

  template<typename Function>
  void Spawn(Function aFunction)
  {
    asio::spawn(
      mContext,
      [self = shared_from_this(), function = std::move(aFunction)](
        const asio::yield_context& aYield) { function(*self, aYield); },
      asio::detached);
  }

  void StartDirection(tcp::socket& aFrom,
                      tcp::socket& aTo,
                      Direction& aDirection)
  {
    aFrom.set_option(tcp::no_delay(true));
    Spawn(
      [&aFrom, &aDirection](Link& aSelf, const asio::yield_context& aYield) {
        aSelf.Read(aFrom, aDirection, aYield);
      });
    Spawn([&aTo, &aDirection](Link& aSelf, const asio::yield_context& aYield) {
      aSelf.Write(aTo, aDirection, aYield);
    });
  }

  void Read(tcp::socket& aFrom,
            Direction& aDirection,
            const asio::yield_context& aYield)
  {
    error_code ec;
    while (!mClosed) {
      if (aDirection.mBufferedBytes > kMaxBufferedBytes) {
        WaitUntil(aDirection.mWritable, Clock::time_point::max(), aYield);
        continue;
      }
      std::vector<char> bytes(kChunkBytes);
      bytes.resize(aFrom.async_read_some(asio::buffer(bytes), aYield[ec]));
      if (ec) {
        break;
      }
      // TCP delivers bytes in order, so no chunk is due before an earlier one.
      aDirection.mLastDue =
        std::max(aDirection.mLastDue, Clock::now() + mModel.NextDelay());
      aDirection.mBufferedBytes += bytes.size();
      aDirection.mChunks.push_back({ std::move(bytes), aDirection.mLastDue });
      aDirection.mReadable.cancel();
    }
    aDirection.mEnded = true;
    aDirection.mReadable.cancel();
  }

  void Write(tcp::socket& aTo,
             Direction& aDirection,
             const asio::yield_context& aYield)
  {
    error_code ec;
    while (!mClosed) {
      if (aDirection.mChunks.empty() && aDirection.mEnded) {
        aTo.shutdown(tcp::socket::shutdown_send, ec);
        FinishDirection();
        return;
      }
      const bool idle =
        aDirection.mChunks.empty() || mModel.Faults().mStall != 0;
      const auto due =
        idle ? Clock::time_point::max() : aDirection.mChunks.front().mDue;
      if (due > Clock::now()) {
        WaitUntil(aDirection.mReadable, due, aYield);
        continue;
      }
      const Chunk chunk = std::move(aDirection.mChunks.front());
      aDirection.mChunks.pop_front();
      asio::async_write(aTo, asio::buffer(chunk.mBytes), aYield[ec]);
      if (ec) {
        Close();
        return;
      }
      aDirection.mBufferedBytes -= chunk.mBytes.size();
      aDirection.mWritable.cancel();
    }
  }

  void FinishDirection()
  {
    if (mToTarget.mEnded && mToTarget.mChunks.empty() && mToClient.mEnded &&
        mToClient.mChunks.empty()) {
      Close();
    }
  }

  static void WaitUntil(asio::steady_timer& aTimer,
                        Clock::time_point aTime,
                        const asio::yield_context& aYield)
  {
    error_code ec;
    aTimer.expires_at(aTime);
    aTimer.async_wait(aYield[ec]);
  }

  asio::io_context& mContext;
  tcp::socket mClient;
  tcp::socket mTarget;
  LinkModel& mModel;
  Direction mToTarget;
  Direction mToClient;
  bool mClosed = false;
};

} // namespace

LinkFaults
ParseLinkFaults(const std::string& aText, const LinkFaults& aCurrent)
{
  LinkFaults faults = aCurrent;
  const nlohmann::json object = nlohmann::json::parse(aText);
  for (const auto& [key, value] : object.items()) {
    const auto* it = std::find_if(
      kFaultNames.begin(), kFaultNames.end(), [&name = key](const auto& aName) {
        return aName.mName == name;
      });
    if (it == kFaultNames.end()) {
      throw std::runtime_error("unknown fault \"" + key +
                               "\"; allowed are min_delay_ms, max_delay_ms, "
                               "loss_per_mille, cut, stall");
    }
    const auto n = value.get<std::int64_t>();
    if (n < 0 || n > it->mMaximum) {
      throw std::runtime_error(key + ": found " + std::to_string(n) +
                               "; allowed is 0 to " +
                               std::to_string(it->mMaximum));
    }
    faults.*(it->mMember) = n;
  }
  if (faults.mMinDelayMs > faults.mMaxDelayMs) {
    throw std::runtime_error(
      "min_delay_ms is above max_delay_ms; allowed is at most max_delay_ms");
  }
  return faults;
}

class LinkRelay::Impl
{
public:
  Impl(const std::string& aListen,
       const std::string& aTarget,
       const LinkFaults& aFaults,
       std::uint64_t aSeed)
    : mAcceptor(mContext)
    , mTarget(ParseAddress(aTarget))
    , mModel(aFaults, aSeed)
  {
    const tcp::endpoint address = ParseAddress(aListen);
    error_code ec;
    mAcceptor.open(address.protocol(), ec);
    if (!ec) {
      mAcceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
      mAcceptor.bind(address, ec);
    }
    if (!ec) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      throw std::runtime_error("cannot listen on " + aListen + ": " +
                               ec.message());
    }
    asio::spawn(
      mContext,
      [this](const asio::yield_context& aYield) { Accept(aYield); },
      asio::detached);
  }

  std::string Address() const
  {
    std::ostringstream text;
    text << mAcceptor.local_endpoint();
    return text.str();
  }

  void SetFaults(const LinkFaults& aFaults)
  {
    asio::post(mContext, [this, aFaults] {
      mModel.SetFaults(aFaults);
      for (const auto& link : mLinks) {
        if (aFaults.mCut != 0) {
          link->Close();
        } else {
          link->Wake();
        }
      }
    });
  }

  void Run() { mContext.run(); }
  void Stop() { mContext.stop(); }

private:
  void Accept(const asio::yield_context& aYield)
  {
    while (true) {
      error_code ec;
      tcp::socket client(mContext);
      mAcceptor.async_accept(client, aYield[ec]);
      if (ec == asio::error::operation_aborted) {
        return;
      }
      std::erase_if(mLinks, [](const auto& aLink) { return aLink->Closed(); });
      if (ec || mModel.Faults().mCut != 0) {
        continue;
      }
      mLinks.push_back(
        std::make_shared<Link>(mContext, std::move(client), mModel));
      mLinks.back()->Start(mTarget);
    }
  }

  asio::io_context mContext{ 1 };
  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  LinkModel mModel;
  std::vector<std::shared_ptr<Link>> mLinks;
};

LinkRelay::LinkRelay(const std::string& aListen,
                     const std::string& aTarget,
                     const LinkFaults& aFaults,
                     std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(aListen, aTarget, aFaults, aSeed))
{
}

LinkRelay::~LinkRelay() = default;

std::string
LinkRelay::Address() const
{
  return mImpl->Address();
}

void
LinkRelay::SetFaults(const LinkFaults& aFaults)
{
  mImpl->SetFaults(aFaults);
}

void
LinkRelay::Run()
{
  mImpl->Run();
}

void
LinkRelay::Stop()
{
  mImpl->Stop();
}

} // namespace cornelrudder::tools
