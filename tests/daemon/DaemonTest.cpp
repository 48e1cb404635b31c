#include "cornelrudderd/Daemon.h"
#include "cornelrudder/transport/HttpServer.h"
#include "cornelrudder/transport/PeerSocket.h"
#include "cornelrudder/transport/TransportError.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder;

namespace {

daemon::DaemonSettings
Settings(const std::string& aHttpAddress,
         const std::string& aPeerAddress,
         const std::string& aMore = "")
{
  return daemon::DaemonSettings::Parse("[daemon]\n"
                                       "id = \"entry-1\"\n"
                                       "region = \"r\"\n"
                                       "zone = \"z\"\n"
                                       "http_address = \"" +
                                         aHttpAddress +
                                         "\"\n"
                                         "peer_address = \"" +
                                         aPeerAddress + "\"\n" + aMore +
                                         "[log]\n"
                                         "level = \"error\"\n"
                                         "[platform]\n"
                                         "address = \"127.0.0.1:1\"\n",
                                       "test");
}

} // namespace

TEST_GROUP(Daemon){};

// Guards against a constructor that hangs, instead of reporting an address in
// use, because tasks are already running.
TEST(Daemon, AddressesInUseThrow)
{
  const std::string any = "127.0.0.1:0";
  transport::IoThread thread;
  const transport::HttpServer http(thread, any, {}, {});
  const transport::PeerSocket peer(any, {}, {});
  CHECK_THROWS(transport::TransportError,
               daemon::Daemon(Settings(http.Address(), any)));
  CHECK_THROWS(transport::TransportError,
               daemon::Daemon(Settings(any, peer.Address())));
}

// Guards against connections that take more than their part of a small VM.
TEST(Daemon, MemoryOfConnectionsFollowsTheVm)
{
  constexpr std::size_t kMebibyte = 1'048'576;
  const auto bytes = [](const std::string& aMore) {
    return Settings("127.0.0.1:0", "127.0.0.1:0", aMore).ConnectionBytes();
  };
  LONGS_EQUAL(64 * kMebibyte, bytes(""));
  LONGS_EQUAL(30 * kMebibyte, bytes("memory_mb = 120\n"));
  LONGS_EQUAL(8 * kMebibyte, bytes("[http]\nmemory_mb = 8\n"));
  CHECK_THROWS(daemon::SettingsFileError, bytes("[http]\nmemory_mb = -1\n"));
}

// Guards against jobs that take more than their part of a small VM.
TEST(Daemon, MemoryOfJobsFollowsTheVm)
{
  constexpr std::size_t kMebibyte = 1'048'576;
  const auto bytes = [](const std::string& aMore) {
    return Settings("127.0.0.1:0", "127.0.0.1:0", aMore).JobBytes();
  };
  LONGS_EQUAL(64 * kMebibyte, bytes(""));
  LONGS_EQUAL(65 * kMebibyte, bytes("memory_mb = 260\n"));
  LONGS_EQUAL(8 * kMebibyte, bytes("[scheduling]\njob_memory_mb = 8\n"));
}
