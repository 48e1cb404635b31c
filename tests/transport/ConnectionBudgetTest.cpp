#include "cornelrudder/transport/ConnectionBudget.h"

#include <CppUTest/TestHarness.h>

#include <map>

#include <rapidcheck.h>

using namespace cornelrudder::transport;

namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr std::size_t kKib = 1024;

ConnectionLoad
Load(std::size_t aBytes, ConnectionPhase aPhase, int aSince)
{
  return { 0, aBytes, aPhase, Time(std::chrono::seconds(aSince)) };
}

} // namespace

TEST_GROUP(ConnectionBudget){};

// Guards against closing small connections to keep large unfinished ones.
TEST(ConnectionBudget, LargestIsClosedFirst)
{
  ConnectionBudget budget(0);
  budget.Put(1, Load(16 * kKib, ConnectionPhase::kIdle, 1));
  budget.Put(2, Load(256 * kKib, ConnectionPhase::kReceiving, 3));
  budget.Put(3, Load(250 * kKib, ConnectionPhase::kReceiving, 2));
  CHECK(budget.FirstToClose() == 2);
}

// Guards against keeping those that are slow on purpose: a small difference of
// size does not protect them.
TEST(ConnectionBudget, LongestInItsPhaseIsClosedFirstAmongEquals)
{
  ConnectionBudget budget(0);
  budget.Put(1, Load(17 * kKib, ConnectionPhase::kReceiving, 1));
  budget.Put(2, Load(18 * kKib, ConnectionPhase::kIdle, 2));
  CHECK(budget.FirstToClose() == 1);
}

// Guards against closing a connection whose request may run.
TEST(ConnectionBudget, AnsweringConnectionsAreKept)
{
  ConnectionBudget budget(1);
  budget.Put(1, Load(256 * kKib, ConnectionPhase::kAnswering, 1));
  CHECK(budget.IsExceeded());
  CHECK_FALSE(budget.FirstToClose().has_value());
}

TEST(ConnectionBudget, ListenerClosesItsOwnConnections)
{
  ConnectionBudget budget(0);
  ConnectionLoad other = Load(256 * kKib, ConnectionPhase::kIdle, 1);
  other.mListener = 7;
  budget.Put(1, other);
  budget.Put(2, Load(kKib, ConnectionPhase::kIdle, 1));
  CHECK(budget.FirstToClose(0) == 2);
  CHECK(budget.FirstToClose(7) == 1);
  CHECK_FALSE(budget.FirstToClose(8).has_value());
}

// Guards against bytes that stay charged after a connection has gone.
TEST(ConnectionBudget, SumFollowsAnyOrderOfChanges)
{
  CHECK(rc::check([] {
    ConnectionBudget budget(100 * kKib);
    std::map<ConnectionBudget::Id, ConnectionLoad> model;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
      const auto id = *rc::gen::inRange<ConnectionBudget::Id>(1, 8);
      if (*rc::gen::inRange(0, 4) == 0) {
        budget.Remove(id);
        model.erase(id);
        continue;
      }
      const auto phase = static_cast<ConnectionPhase>(*rc::gen::inRange(0, 4));
      const auto load =
        Load(*rc::gen::inRange<std::size_t>(0, 60 * kKib), phase, i);
      budget.Put(id, load);
      model[id] = load;
    }
    std::size_t sum = 0;
    for (const auto& [id, load] : model) {
      sum += load.mBytes;
    }
    RC_ASSERT(budget.Bytes() == sum);
    RC_ASSERT(budget.Connections() == model.size());
    // Closes connections until the rest fits, and none without need.
    while (budget.IsExceeded()) {
      const auto id = budget.FirstToClose();
      if (!id) {
        break;
      }
      RC_ASSERT(model.at(*id).mPhase != ConnectionPhase::kAnswering);
      for (const auto& [other, load] : model) {
        RC_ASSERT(load.mPhase == ConnectionPhase::kAnswering ||
                  !IsClosedBefore(load, model.at(*id)));
      }
      budget.Remove(*id);
      model.erase(*id);
    }
  }));
}
