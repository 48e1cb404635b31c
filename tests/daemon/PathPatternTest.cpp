#include "cornelrudderd/PathPattern.h"

#include <CppUTest/TestHarness.h>

using cornelrudder::daemon::MatchPath;

TEST_GROUP(PathPattern){};

// Guards against a request dispatched to the handler of another path.
TEST(PathPattern, WildcardsMatchSegments)
{
  CHECK(MatchPath("/v1/jobs", "/v1/jobs").has_value());
  CHECK_FALSE(MatchPath("/v1/jobs", "/v1/jobs/").has_value());
  CHECK_FALSE(MatchPath("/v1/jobs/*", "/v1/jobs/").has_value());
  CHECK_FALSE(MatchPath("/v1/jobs/*", "/v1/jobs/a/b").has_value());
  STRCMP_EQUAL("a", MatchPath("/v1/jobs/*", "/v1/jobs/a")->at(0).c_str());
  STRCMP_EQUAL("a/b", MatchPath("/v1/s/**", "/v1/s/a/b")->at(0).c_str());
  CHECK_FALSE(MatchPath("/v1/s/**", "/v1/s/").has_value());
}
