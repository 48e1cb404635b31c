#include "cornelrudder/state/EndpointHealth.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

const ClassName kProof("proof");
const ClassName kKerf("kerf");

EndpointHealth
After(EndpointHealth aHealth, int aExchanges, bool aFailed, bool aElsewhere)
{
  for (int i = 0; i < aExchanges; ++i) {
    aHealth = aHealth.WithExchange(
      EndpointExchange(kProof, aFailed), aElsewhere, milliseconds(1'000));
  }
  return aHealth;
}

} // namespace

TEST_GROUP(EndpointHealth){};

// Guards against a runner that attracts work because it fails it fast.
TEST(EndpointHealth, FailuresBeyondHalfLeadToQuarantine)
{
  EndpointHealth health = After({}, 10, false, true);
  health = After(health, 10, true, true);
  CHECK(health.State() == EndpointState::kHealthy);
  health = After(health, 1, true, true);
  CHECK(health.State() == EndpointState::kQuarantined);
}

// Guards against a quarantine of all runners when the work itself fails.
TEST(EndpointHealth, WorkThatFailsEverywhereIsNotTheEndpointsFault)
{
  const EndpointHealth health = After({}, 40, true, false);
  CHECK(health.State() == EndpointState::kHealthy);
  CHECK(health.MajorityFailed());
  CHECK_FALSE(health.HasSucceeded(kProof));
  CHECK(After({}, 1, false, true).HasSucceeded(kProof));
  CHECK_FALSE(After({}, 1, false, true).HasSucceeded(kKerf));
}

// Guards against a quarantine after one failure of a runner that just came.
TEST(EndpointHealth, FewExchangesSayNothing)
{
  CHECK(After({}, 4, true, true).State() == EndpointState::kHealthy);
  CHECK(After({}, 5, true, true).State() == EndpointState::kQuarantined);
}

// Guards against a window that grows without bound.
TEST(EndpointHealth, WindowIsBounded)
{
  LONGS_EQUAL(EndpointHealth::kWindowExchanges,
              After({}, 100, false, true).Exchanges().size());
}

// Guards against more than one probe in ten seconds.
TEST(EndpointHealth, OneProbePerInterval)
{
  EndpointHealth health = After({}, 5, true, true);
  CHECK_FALSE(health.IsProbeDue(milliseconds(10'999)));
  CHECK(health.IsProbeDue(milliseconds(11'000)));
  health = health.WithProbe(milliseconds(11'000));
  CHECK_FALSE(health.IsProbeDue(milliseconds(20'999)));
  CHECK(health.IsProbeDue(milliseconds(21'000)));
}

// Guards against the end of a quarantine by successes between failures, and
// against old failures that would start the next one at once.
TEST(EndpointHealth, FiveSuccessesInARowEndQuarantine)
{
  EndpointHealth health = After({}, 5, true, true);
  health = After(health, 4, false, true);
  health = After(health, 1, true, true);
  health = After(health, 4, false, true);
  CHECK(health.State() == EndpointState::kQuarantined);
  health = After(health, 1, false, true);
  CHECK(health.State() == EndpointState::kHealthy);
  LONGS_EQUAL(0, health.Exchanges().size());
}
