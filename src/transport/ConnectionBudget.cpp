#include "cornelrudder/transport/ConnectionBudget.h"

namespace cornelrudder::transport {

namespace {

/** Smaller differences of size do not decide. */
constexpr std::size_t kSizeUnitBytes = 16UL * 1024;

} // namespace

bool
IsClosedBefore(const ConnectionLoad& aFirst, const ConnectionLoad& aSecond)
{
  const std::size_t first = aFirst.mBytes / kSizeUnitBytes;
  const std::size_t second = aSecond.mBytes / kSizeUnitBytes;
  return first != second ? first > second : aFirst.mSince < aSecond.mSince;
}

void
ConnectionBudget::Put(Id aId, const ConnectionLoad& aLoad)
{
  ConnectionLoad& load = mLoads[aId];
  mBytes += aLoad.mBytes - load.mBytes;
  load = aLoad;
}

void
ConnectionBudget::Remove(Id aId)
{
  const auto it = mLoads.find(aId);
  if (it != mLoads.end()) {
    mBytes -= it->second.mBytes;
    mLoads.erase(it);
  }
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::FirstToClose(std::optional<std::uint64_t> aListener) const
{
  const std::pair<const Id, ConnectionLoad>* first = nullptr;
  for (const auto& it : mLoads) {
    const ConnectionLoad& load = it.second;
    const bool isCandidate = load.mPhase != ConnectionPhase::kAnswering &&
                             (!aListener || load.mListener == *aListener);
    if (isCandidate &&
        (first == nullptr || IsClosedBefore(load, first->second))) {
      first = &it;
    }
  }
  return first != nullptr ? std::optional(first->first) : std::nullopt;
}

} // namespace cornelrudder::transport
