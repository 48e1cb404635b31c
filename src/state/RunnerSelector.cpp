#include "cornelrudder/state/RunnerSelector.h"

#include <algorithm>
#include <array>

namespace cornelrudder::state {

namespace {

bool
IsCandidate(const RunnerLoad& aRunner, std::span<const VmId> aTried)
{
  return aRunner.HasFreeSlot() &&
         std::find(aTried.begin(), aTried.end(), aRunner.Runner()) ==
           aTried.end();
}

class FirstFree final : public RunnerSelector
{
public:
  std::string_view Name() const override { return "first_free"; }

  std::string_view Description() const override
  {
    return "first runner with a free slot";
  }

  std::optional<std::size_t> Choose(std::span<const RunnerLoad> aRunners,
                                    const ZoneId& /*aOwnZone*/,
                                    std::span<const VmId> aTried) const override
  {
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (IsCandidate(aRunners[i], aTried)) {
        return i;
      }
    }
    return std::nullopt;
  }
};

class OwnZone final : public RunnerSelector
{
public:
  std::string_view Name() const override { return "own_zone"; }

  std::string_view Description() const override
  {
    return "least loaded runner of the own availability zone, then of others";
  }

  std::optional<std::size_t> Choose(std::span<const RunnerLoad> aRunners,
                                    const ZoneId& aOwnZone,
                                    std::span<const VmId> aTried) const override
  {
    std::optional<std::size_t> best;
    bool bestIsRemote = true;
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (!aRunners[i].HasFreeSlot()) {
        continue;
      }
      const bool isRemote = aRunners[i].Zone() != aOwnZone;
      const bool better =
        !best ||
        (isRemote == bestIsRemote ? IsLessLoaded(aRunners[i], aRunners[*best])
                                  : bestIsRemote);
      if (better && IsCandidate(aRunners[i], aTried)) {
        best = i;
        bestIsRemote = isRemote;
      }
    }
    return best;
  }

private:
  static bool IsLessLoaded(const RunnerLoad& aLeft, const RunnerLoad& aRight)
  {
    return aLeft.InFlight() * aRight.Slots() <
           aRight.InFlight() * aLeft.Slots();
  }
};

const FirstFree kFirstFree;
const OwnZone kOwnZone;
const std::array<const RunnerSelector*, 2> kSelectors{ &kFirstFree, &kOwnZone };

} // namespace

std::span<const RunnerSelector* const>
AllRunnerSelectors()
{
  return kSelectors;
}

const RunnerSelector*
FindRunnerSelector(std::string_view aName)
{
  const auto* it = std::find_if(
    kSelectors.begin(), kSelectors.end(), [aName](const auto* aSelector) {
      return aSelector->Name() == aName;
    });
  return it != kSelectors.end() ? *it : nullptr;
}

} // namespace cornelrudder::state
