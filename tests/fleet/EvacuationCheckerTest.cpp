#include "EvacuationChecker.h"

#include <CppUTest/TestHarness.h>

using namespace cornelrudder::tests;
using std::chrono::milliseconds;

TEST_GROUP(EvacuationChecker){};

TEST(EvacuationChecker, OrderAfterTheBoundIsAViolation)
{
  EvacuationChecker checker;
  const EvacuationChecker::Clock::time_point start{};
  checker.Begin("z1", start);
  const auto late = start + EvacuationChecker::kBound + milliseconds(1);
  CHECK(!checker.CheckOrder("z1", "t", start + EvacuationChecker::kBound));
  CHECK(checker.CheckOrder("z1", "t", late).has_value());
  CHECK(!checker.CheckOrder("z2", "t", late));
}

TEST(EvacuationChecker, LaterRequestExtendsTheEvacuation)
{
  EvacuationChecker checker;
  const EvacuationChecker::Clock::time_point start{};
  const auto first = checker.Begin("z1", start);
  const auto second = checker.Begin("z1", start + milliseconds(1'000));
  CHECK(!checker.End("z1", first));
  CHECK(checker.CheckOrder("z1", "t", start + milliseconds(5'500)).has_value());
  CHECK(checker.End("z1", second));
  CHECK(!checker.CheckOrder("z1", "t", start + milliseconds(5'500)));
}
