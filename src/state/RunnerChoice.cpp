#include "cornelrudder/state/RunnerChoice.h"

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

class FirstFree final : public RunnerChoice
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

class OwnZone final : public RunnerChoice
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
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (!IsCandidate(aRunners[i], aTried)) {
        continue;
      }
      if (!best || IsBetter(aRunners[i], aRunners[*best], aOwnZone)) {
        best = i;
      }
    }
    return best;
  }

private:
  static bool IsBetter(const RunnerLoad& aLeft,
                       const RunnerLoad& aRight,
                       const ZoneId& aOwnZone)
  {
    const bool leftFar = aLeft.Zone() != aOwnZone;
    const bool rightFar = aRight.Zone() != aOwnZone;
    if (leftFar != rightFar) {
      return rightFar;
    }
    return aLeft.InFlight() * aRight.Slots() <
           aRight.InFlight() * aLeft.Slots();
  }
};

const FirstFree kFirstFree;
const OwnZone kOwnZone;
const std::array<const RunnerChoice*, 2> kChoices{ &kFirstFree, &kOwnZone };

} // namespace

std::span<const RunnerChoice* const>
AllRunnerChoices()
{
  return kChoices;
}

const RunnerChoice*
FindRunnerChoice(std::string_view aName)
{
  const auto* it = std::find_if(
    kChoices.begin(), kChoices.end(), [aName](const auto* aChoice) {
      return aChoice->Name() == aName;
    });
  return it != kChoices.end() ? *it : nullptr;
}

} // namespace cornelrudder::state
