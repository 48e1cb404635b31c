#include "cornelrudder/state/scheduling/Catalog.h"

namespace cornelrudder::state::scheduling {

Catalog::Catalog(std::uint64_t aRowVersion,
                 std::uint64_t aOperatorVersion,
                 std::vector<Queue> aQueues,
                 std::vector<CatalogOrganisation> aOrganisations,
                 CallLimits aLimits)
  : mRowVersion(aRowVersion)
  , mOperatorVersion(aOperatorVersion)
  , mQueues(std::move(aQueues))
  , mOrganisations(std::move(aOrganisations))
  , mLimits(aLimits)
{
  for (std::size_t i = 0; i < mQueues.size(); ++i) {
    mByHost[mQueues[i].mHost].push_back(i);
  }
  for (const CatalogOrganisation& organisation : mOrganisations) {
    for (const std::string& key : organisation.mApiKeys) {
      mByKey.emplace(key, organisation.mName);
    }
  }
}

const Queue*
Catalog::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const auto it = mByHost.find(aHost);
  if (it == mByHost.end()) {
    return nullptr;
  }
  const Queue* found = nullptr;
  for (const std::size_t i : it->second) {
    const Queue& queue = mQueues[i];
    const bool longer =
      found == nullptr || queue.mPathPrefix.size() > found->mPathPrefix.size();
    if (longer && aPath.starts_with(queue.mPathPrefix)) {
      found = &queue;
    }
  }
  return found;
}

const std::string*
Catalog::FindOrganisation(std::string_view aKey) const
{
  const auto it = mByKey.find(aKey);
  return it != mByKey.end() ? &it->second : nullptr;
}

} // namespace cornelrudder::state::scheduling
