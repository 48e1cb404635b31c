#include "cornelrudder/state/EndpointHealth.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::state;
using std::chrono::milliseconds;

namespace {

const ClassName kProof("proof");
const ClassName kKerf("kerf");

EndpointHealth
AfterExchanges(EndpointHealth aHealth,
               int aExchanges,
               bool aFailed,
               bool aElsewhere)
{
  for (int i = 0; i < aExchanges; ++i) {
    aHealth = aHealth.WithExchange(
      EndpointExchange(kProof, aFailed), aElsewhere, milliseconds(1'000));
  }
  return aHealth;
}

} // namespace

TEST_GROUP(EndpointHealth){};

// Guards against a runner that attracts requests because it fails them quickly.
TEST(EndpointHealth, MajorityOfFailuresLeadsToQuarantine)
{
  EndpointHealth health = AfterExchanges({}, 10, false, true);
  health = AfterExchanges(health, 10, true, true);
  CHECK(health.State() == EndpointState::kHealthy);
  health = AfterExchanges(health, 1, true, true);
  CHECK(health.State() == EndpointState::kQuarantined);
}

// Guards against a quarantine of all runners when the requests are at fault.
TEST(EndpointHealth, ClassThatFailsEverywhereCausesNoQuarantine)
{
  const EndpointHealth health = AfterExchanges({}, 40, true, false);
  CHECK(health.State() == EndpointState::kHealthy);
  CHECK(health.MajorityFailed());
  CHECK_FALSE(health.HasSucceeded(kProof));
  CHECK(AfterExchanges({}, 1, false, true).HasSucceeded(kProof));
  CHECK_FALSE(AfterExchanges({}, 1, false, true).HasSucceeded(kKerf));
}

// Guards against the quarantine of a new runner after one failure.
TEST(EndpointHealth, FewExchangesCauseNoQuarantine)
{
  CHECK(AfterExchanges({}, 4, true, true).State() == EndpointState::kHealthy);
  CHECK(AfterExchanges({}, 5, true, true).State() ==
        EndpointState::kQuarantined);
}

// Guards against a window that grows without bound.
TEST(EndpointHealth, WindowIsBounded)
{
  LONGS_EQUAL(EndpointHealth::kWindowExchanges,
              AfterExchanges({}, 100, false, true).Exchanges().size());
}

// Guards against more than one probe per 10 s.
TEST(EndpointHealth, OneProbePerInterval)
{
  EndpointHealth health = AfterExchanges({}, 5, true, true);
  CHECK_FALSE(health.IsProbeDue(milliseconds(10'999)));
  CHECK(health.IsProbeDue(milliseconds(11'000)));
  health = health.WithProbe(milliseconds(11'000));
  CHECK_FALSE(health.IsProbeDue(milliseconds(20'999)));
  CHECK(health.IsProbeDue(milliseconds(21'000)));
}

// Guards against a quarantine that ends on successes between failures, and
// against old failures that start the next quarantine at once.
TEST(EndpointHealth, FiveConsecutiveSuccessesEndQuarantine)
{
  EndpointHealth health = AfterExchanges({}, 5, true, true);
  health = AfterExchanges(health, 4, false, true);
  health = AfterExchanges(health, 1, true, true);
  health = AfterExchanges(health, 4, false, true);
  CHECK(health.State() == EndpointState::kQuarantined);
  health = AfterExchanges(health, 1, false, true);
  CHECK(health.State() == EndpointState::kHealthy);
  LONGS_EQUAL(0, health.Exchanges().size());
}
