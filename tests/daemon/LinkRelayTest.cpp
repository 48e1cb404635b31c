#include "LinkRelay.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

using cornelrudder::tools::LinkFaults;
using cornelrudder::tools::ParseLinkFaults;

TEST_GROUP(LinkRelay){};

// Guards against a misspelt or invalid fault that is silently ignored, so that
// a test runs without the fault it depends on.
TEST(LinkRelay, UnknownAndInvalidFaultsAreRejected)
{
  LinkFaults current;
  current.mMaxDelayMs = 4;
  const LinkFaults cut = ParseLinkFaults(R"({"cut":1})", current);
  LONGS_EQUAL(1, cut.mCut);
  LONGS_EQUAL(4, cut.mMaxDelayMs);
  CHECK_THROWS(std::exception, ParseLinkFaults(R"({"cuts":1})", current));
  CHECK_THROWS(std::exception, ParseLinkFaults(R"({"cut":2})", current));
  CHECK_THROWS(std::exception,
               ParseLinkFaults(R"({"min_delay_ms":5})", current));
  CHECK_THROWS(std::exception, ParseLinkFaults("{", current));
}
