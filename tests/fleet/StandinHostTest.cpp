#include "StandinHost.h"

#include <CppUTest/TestHarness.h>

#include <set>

using cornelrudder::tests::StandinHost;

TEST_GROUP(StandinHost){};

// Guards against stand-ins of two seeds that take each other's ports.
TEST(StandinHost, ProcessesHaveHostsOfTheirOwn)
{
  constexpr int kProcesses = 60'000;
  std::set<std::string> hosts;
  for (int i = 1; i <= kProcesses; ++i) {
    hosts.insert(StandinHost(i));
  }
  CHECK_EQUAL(kProcesses, hosts.size());
  STRCMP_EQUAL("127.1.2.1", StandinHost(1).c_str());
}
