#include "cornelrudder/transport/PeerSocket.h"
#include "cornelrudder/transport/TransportError.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace cornelrudder::transport;

namespace {

constexpr std::chrono::milliseconds kGenerous{ 60'000 };
constexpr std::chrono::milliseconds kPause{ 5 };

/** Keeps the frames that arrive. */
class Inbox
{
public:
  PeerFrameHandler Handler()
  {
    return [this](std::string aFrame) {
      const std::lock_guard lock(mMutex);
      mFrames.push_back(std::move(aFrame));
      mArrived.notify_all();
    };
  }

  /** @return The frames once there are that many, or all after a timeout. */
  std::vector<std::string> Wait(std::size_t aCount)
  {
    std::unique_lock lock(mMutex);
    mArrived.wait_for(
      lock, kGenerous, [this, aCount] { return mFrames.size() >= aCount; });
    return mFrames;
  }

private:
  std::mutex mMutex;
  std::condition_variable mArrived;
  std::vector<std::string> mFrames;
};

/** Repeats a send until it is taken or the deadline has passed. */
bool
SendUntilTaken(PeerSocket& aSocket,
               const std::string& aPeer,
               std::string_view aFrame)
{
  const auto deadline = std::chrono::steady_clock::now() + kGenerous;
  while (!aSocket.Send(aPeer, aFrame)) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

} // namespace

TEST_GROUP(PeerSocket){};

// Guards against frames that arrive changed or out of order.
TEST(PeerSocket, TwoSocketsExchangeFramesInOrder)
{
  Inbox inbox;
  PeerSocket first("127.0.0.1:0", {}, [](const std::string&) {});
  PeerSocket second("127.0.0.1:0", {}, inbox.Handler());
  first.Connect(second.Address());
  const std::string binary("\0\xff\n", 3);
  CHECK(SendUntilTaken(first, second.Address(), binary));
  CHECK(SendUntilTaken(first, second.Address(), ""));
  CHECK(SendUntilTaken(first, second.Address(), "third"));
  const auto frames = inbox.Wait(3);
  LONGS_EQUAL(3, frames.size());
  CHECK(frames == (std::vector<std::string>{ binary, "", "third" }));
}

// Guards against a frame that reaches a peer other than the named one.
TEST(PeerSocket, ThreeSocketsKeepPeersApart)
{
  Inbox inboxes[2];
  PeerSocket sender("127.0.0.1:0", {}, [](const std::string&) {});
  PeerSocket first("127.0.0.1:0", {}, inboxes[0].Handler());
  PeerSocket second("127.0.0.1:0", {}, inboxes[1].Handler());
  sender.Connect(first.Address());
  sender.Connect(second.Address());
  for (int i = 0; i < 20; ++i) {
    CHECK(SendUntilTaken(sender, first.Address(), "first"));
    CHECK(SendUntilTaken(sender, second.Address(), "second"));
  }
  CHECK(inboxes[0].Wait(20) == std::vector<std::string>(20, "first"));
  CHECK(inboxes[1].Wait(20) == std::vector<std::string>(20, "second"));
}

// Guards against a peer that stays unreachable after its restart.
TEST(PeerSocket, ConnectsAgainAfterAPeerRestarted)
{
  PeerSocket sender("127.0.0.1:0", {}, [](const std::string&) {});
  Inbox before;
  Inbox after;
  auto peer = std::make_unique<PeerSocket>(
    "127.0.0.1:0", PeerSocketLimits{}, before.Handler());
  const std::string address = peer->Address();
  sender.Connect(address);
  CHECK(SendUntilTaken(sender, address, "before"));
  LONGS_EQUAL(1, before.Wait(1).size());
  peer.reset();
  peer =
    std::make_unique<PeerSocket>(address, PeerSocketLimits{}, after.Handler());
  CHECK(SendUntilTaken(sender, address, "after"));
  STRCMP_EQUAL("after", after.Wait(1).at(0).c_str());
}

// Guards against a task that blocks on, or queues without bound for, a peer
// that is not there.
TEST(PeerSocket, UnknownAndAbsentPeersAreCounted)
{
  PeerSocket sender("127.0.0.1:0", {}, [](const std::string&) {});
  CHECK_FALSE(sender.Send("127.0.0.1:1", "x"));
  sender.Connect("127.0.0.1:1");
  for (int i = 0; i < 1'000; ++i) {
    CHECK_FALSE(sender.Send("127.0.0.1:1", "x"));
  }
  LONGS_EQUAL(1'001, sender.Counters().mDropped);
  LONGS_EQUAL(0, sender.Counters().mSent);
}

// Guards against unbounded queues for a peer that reads nothing.
TEST(PeerSocket, FullQueueIsCounted)
{
  std::mutex busy;
  std::unique_lock lock(busy);
  PeerSocketLimits limits;
  limits.mMaxQueuedFrames = 4;
  PeerSocket sender("127.0.0.1:0", limits, [](const std::string&) {});
  {
    PeerSocket peer("127.0.0.1:0", limits, [&busy](const std::string&) {
      const std::lock_guard wait(busy);
    });
    sender.Connect(peer.Address());
    const std::string frame(512ULL * 1024, 'x');
    CHECK(SendUntilTaken(sender, peer.Address(), frame));
    int sent = 0;
    while (sent < 1'000 && sender.Send(peer.Address(), frame)) {
      ++sent;
    }
    CHECK(sent < 1'000);
    CHECK(sender.Counters().mDropped > 0);
    lock.unlock();
  }
}

// Guards against a peer that makes this daemon hold frames of any size.
TEST(PeerSocket, TooLongFramesAreRefusedOnBothSides)
{
  PeerSocketLimits small;
  small.mMaxFrameBytes = 100;
  Inbox inbox;
  PeerSocket sender("127.0.0.1:0", {}, [](const std::string&) {});
  PeerSocket strict("127.0.0.1:0", small, inbox.Handler());
  strict.Connect(sender.Address());
  sender.Connect(strict.Address());
  CHECK(SendUntilTaken(strict, sender.Address(), std::string(100, 'x')));
  CHECK_FALSE(strict.Send(sender.Address(), std::string(101, 'x')));
  CHECK(SendUntilTaken(sender, strict.Address(), std::string(101, 'x')));
  // The connection was closed; later frames arrive over the next one.
  std::vector<std::string> frames;
  for (int i = 0; i < 200 && frames.empty(); ++i) {
    CHECK(SendUntilTaken(sender, strict.Address(), "short"));
    std::this_thread::sleep_for(kPause);
    if (strict.Counters().mReceived > 0) {
      frames = inbox.Wait(1);
    }
  }
  CHECK(!frames.empty());
  STRCMP_EQUAL("short", frames.at(0).c_str());
}

// Guards against a daemon that starts although its peer port is taken.
TEST(PeerSocket, AddressInUseThrowsWithTheAddress)
{
  PeerSocket socket("127.0.0.1:0", {}, [](const std::string&) {});
  std::optional<std::string> text;
  try {
    PeerSocket second(socket.Address(), {}, [](const std::string&) {});
  } catch (const TransportError& error) {
    text = error.what();
  }
  CHECK(text.has_value());
  CHECK(text->find(socket.Address()) != std::string::npos);
}

TEST(PeerSocket, MalformedAddressesThrow)
{
  PeerSocket socket("127.0.0.1:0", {}, [](const std::string&) {});
  CHECK_THROWS(TransportError, socket.Connect("localhost"));
  CHECK_THROWS(TransportError, PeerSocket("nowhere:1", {}, {}));
}
