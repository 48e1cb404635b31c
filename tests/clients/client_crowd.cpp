/**
 * @file
 * Opens a bounded number of connections that misbehave in one way, prints
 * "played" when nothing more can be sent, keeps them open for some seconds and
 * ends. Usage:
 * client_crowd KIND ADDRESS PATH CONNECTIONS HOLD_SECONDS
 * client_crowd free-address
 */

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/** The limit of the platform's catalog. */
constexpr std::size_t kLegalBodyBytes = 262'144;
constexpr std::size_t kHugeBodyBytes = 8'000'000;
constexpr std::size_t kHugeBodyBytesSent = 1'000'000;
constexpr std::size_t kChunkBytes = 1'000;
constexpr std::size_t kHeaderFields = 1'700;
constexpr std::size_t kRequestsAhead = 400;
constexpr std::size_t kPaddingBytes = 1'000;
/** Receive buffer of clients that do not read, so that answers wait early. */
constexpr int kSmallBufferBytes = 4'096;
constexpr std::size_t kMaxConnections = 2'000;
constexpr int kMaxHoldSeconds = 60;
constexpr auto kSlowPause = 100ms;
/** Without progress for so long, the crowd has been played. */
constexpr auto kQuietTime = 1'000ms;
/** Slow clients do not end by themselves. */
constexpr auto kMaxPlayTime = 6'000ms;

std::string
Head(std::string_view aMethod, const std::string& aPath)
{
  return std::string(aMethod) + " " + aPath +
         " HTTP/1.1\r\nhost: presses.example\r\n"
         "authorization: Bearer key-acme\r\nx-deadline-ms: 3000\r\n";
}

std::string
HeadOfBody(const std::string& aPath, std::size_t aBytes)
{
  return Head("POST", aPath) + "content-length: " + std::to_string(aBytes) +
         "\r\n\r\n";
}

std::string
UnfinishedBody(const std::string& aPath)
{
  return HeadOfBody(aPath, kLegalBodyBytes) +
         std::string(kLegalBodyBytes - 1, 'x');
}

std::string
Chunks(const std::string& aPath, std::size_t aBytes)
{
  std::string text = Head("POST", aPath) + "transfer-encoding: chunked\r\n\r\n";
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", kChunkBytes);
  for (std::size_t n = 0; n + kChunkBytes <= aBytes; n += kChunkBytes) {
    text += size.data() + std::string(kChunkBytes, 'x') + "\r\n";
  }
  return text;
}

std::string
UnfinishedChunks(const std::string& aPath)
{
  return Chunks(aPath, kLegalBodyBytes);
}

std::string
HugeBody(const std::string& aPath)
{
  return HeadOfBody(aPath, kHugeBodyBytes) +
         std::string(kHugeBodyBytesSent, 'x');
}

std::string
HugeChunks(const std::string& aPath)
{
  return Chunks(aPath, kHugeBodyBytesSent);
}

std::string
HeaderFields(const std::string& aPath)
{
  std::string text = Head("GET", aPath);
  for (std::size_t i = 0; i < kHeaderFields; ++i) {
    text += "a" + std::to_string(i) + ":\r\n";
  }
  return text;
}

std::string
JsonFields(const std::string& aPath)
{
  std::string body = "{";
  for (std::size_t i = 0; body.size() + 20 < kLegalBodyBytes; ++i) {
    body += "\"" + std::to_string(i) + "\":[],";
  }
  body += "\"steps\":[]}";
  return HeadOfBody(aPath, body.size()) + body;
}

std::string
RequestsAhead(const std::string& aPath)
{
  std::string text;
  for (std::size_t i = 0; i < kRequestsAhead; ++i) {
    text += Head("GET", aPath) +
            "x-padding: " + std::string(kPaddingBytes, 'x') + "\r\n\r\n";
  }
  return text;
}

std::string
HalfHead(const std::string& aPath)
{
  return Head("POST", aPath);
}

enum class Reading
{
  kNone,
  kSlow,
  kAll
};

/** What the clients of a crowd send, and how they send and read. */
struct Kind
{
  std::string_view mName;
  std::string (*mMakeText)(const std::string& aPath);
  /** Bytes of one write; 0 for all. */
  std::size_t mPieceBytes;
  std::chrono::milliseconds mPause;
  Reading mReading;
};

constexpr std::array kKinds{
  Kind{ "unfinished-bodies", UnfinishedBody, 0, 0ms, Reading::kAll },
  Kind{ "small-pieces", UnfinishedBody, 1'024, 0ms, Reading::kAll },
  Kind{ "chunks", UnfinishedChunks, 0, 0ms, Reading::kAll },
  Kind{ "huge-bodies", HugeBody, 0, 0ms, Reading::kNone },
  Kind{ "huge-chunks", HugeChunks, 0, 0ms, Reading::kNone },
  Kind{ "header-fields", HeaderFields, 0, 0ms, Reading::kAll },
  Kind{ "json-fields", JsonFields, 0, 0ms, Reading::kAll },
  Kind{ "requests-ahead", RequestsAhead, 0, 0ms, Reading::kNone },
  Kind{ "slow-senders", UnfinishedBody, 1, kSlowPause, Reading::kAll },
  Kind{ "slow-readers", RequestsAhead, 0, 0ms, Reading::kSlow },
  Kind{ "half-heads", HalfHead, 0, 0ms, Reading::kAll },
};

/** Counts what the clients have done. */
struct Progress
{
  std::size_t mOpen = 0;
  std::size_t mSentBytes = 0;
  std::chrono::steady_clock::time_point mLast =
    std::chrono::steady_clock::now();

  void AddSent(std::size_t aBytes)
  {
    mSentBytes += aBytes;
    mLast = std::chrono::steady_clock::now();
  }
};

/** One connection of the crowd. */
class Client : public std::enable_shared_from_this<Client>
{
public:
  Client(asio::io_context& aContext,
         const Kind& aKind,
         const std::string& aText,
         Progress& aProgress)
    : mSocket(aContext)
    , mSendTimer(aContext)
    , mReadTimer(aContext)
    , mKind(aKind)
    , mText(aText)
    , mProgress(aProgress)
  {
  }

  void Start(const tcp::endpoint& aAddress)
  {
    mSocket.async_connect(aAddress,
                          [self = shared_from_this()](error_code aError) {
                            if (!aError) {
                              self->mIsOpen = true;
                              ++self->mProgress.mOpen;
                              self->Send();
                              self->Read();
                            }
                          });
  }

private:
  void Send()
  {
    const std::string_view rest = std::string_view(mText).substr(mSent);
    if (rest.empty()) {
      return;
    }
    const std::size_t n =
      mKind.mPieceBytes == 0 ? rest.size() : mKind.mPieceBytes;
    mSocket.async_write_some(
      asio::buffer(rest.substr(0, n)),
      [self = shared_from_this()](error_code aError, std::size_t aBytes) {
        if (aError) {
          self->Close();
          return;
        }
        self->mSent += aBytes;
        self->mProgress.AddSent(aBytes);
        self->SendAfterPause();
      });
  }

  void SendAfterPause()
  {
    if (mKind.mPause == 0ms) {
      Send();
      return;
    }
    mSendTimer.expires_after(mKind.mPause);
    mSendTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->mIsOpen) {
        self->Send();
      }
    });
  }

  void Read()
  {
    if (mKind.mReading == Reading::kNone) {
      return;
    }
    const std::size_t n = mKind.mReading == Reading::kSlow ? 1 : mBuf.size();
    mSocket.async_read_some(
      asio::buffer(mBuf.data(), n),
      [self = shared_from_this()](error_code aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->Close();
        } else if (self->mKind.mReading == Reading::kAll) {
          self->Read();
        } else {
          self->ReadAfterPause();
        }
      });
  }

  void ReadAfterPause()
  {
    mReadTimer.expires_after(kSlowPause);
    mReadTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError && self->mIsOpen) {
        self->Read();
      }
    });
  }

  void Close()
  {
    if (std::exchange(mIsOpen, false)) {
      --mProgress.mOpen;
      error_code ec;
      mSocket.close(ec);
    }
  }

  tcp::socket mSocket;
  asio::steady_timer mSendTimer;
  asio::steady_timer mReadTimer;
  const Kind& mKind;
  const std::string& mText;
  Progress& mProgress;
  std::array<char, 4'096> mBuf{};
  std::size_t mSent = 0;
  bool mIsOpen = false;
};

void
Play(const Kind& aKind,
     const tcp::endpoint& aAddress,
     const std::string& aPath,
     std::size_t aConnections,
     std::chrono::seconds aHoldTime)
{
  asio::io_context context;
  const std::string text = aKind.mMakeText(aPath);
  Progress progress;
  for (std::size_t i = 0; i < aConnections; ++i) {
    std::make_shared<Client>(context, aKind, text, progress)->Start(aAddress);
  }
  const auto end = std::chrono::steady_clock::now() + kMaxPlayTime;
  while (std::chrono::steady_clock::now() < end &&
         std::chrono::steady_clock::now() - progress.mLast < kQuietTime) {
    context.run_for(100ms);
  }
  std::printf("played sent_mb=%zu open=%zu\n",
              progress.mSentBytes / 1'000'000,
              progress.mOpen);
  std::fflush(stdout);
  context.restart();
  context.run_for(aHoldTime);
  std::printf("held open=%zu\n", progress.mOpen);
}

tcp::endpoint
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  return { asio::ip::make_address(aText.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1))) };
}

/** Prints an address that no program listens on. */
int
PrintFreeAddress()
{
  asio::io_context context;
  const tcp::acceptor acceptor(
    context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::printf("127.0.0.1:%u\n", unsigned{ acceptor.local_endpoint().port() });
  return 0;
}

int
PrintUsage(const char* aProgram)
{
  std::fprintf(stderr,
               "usage: %s KIND ADDRESS PATH CONNECTIONS HOLD_SECONDS\n"
               "CONNECTIONS up to %zu, HOLD_SECONDS up to %d; kinds:",
               aProgram,
               kMaxConnections,
               kMaxHoldSeconds);
  for (const Kind& kind : kKinds) {
    std::fprintf(stderr, " %s", std::string(kind.mName).c_str());
  }
  std::fprintf(stderr, "\n");
  return 2;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments, aArguments + aCount);
  if (arguments.size() == 2 && arguments[1] == "free-address") {
    return PrintFreeAddress();
  }
  if (arguments.size() != 6) {
    return PrintUsage(aArguments[0]);
  }
  const auto* kind =
    std::find_if(kKinds.begin(), kKinds.end(), [&](const Kind& aKind) {
      return aKind.mName == arguments[1];
    });
  try {
    const std::size_t connections = std::stoul(arguments[4]);
    const int hold = std::stoi(arguments[5]);
    if (kind == kKinds.end() || connections > kMaxConnections || hold < 0 ||
        hold > kMaxHoldSeconds) {
      return PrintUsage(aArguments[0]);
    }
    Play(*kind,
         ParseAddress(arguments[2]),
         arguments[3],
         connections,
         std::chrono::seconds(hold));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}
