#ifndef CORNELRUDDER_STATE_SCHEDULING_CATALOG_H
#define CORNELRUDDER_STATE_SCHEDULING_CATALOG_H

#include "cornelrudder/state/scheduling/TaskJob.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state::scheduling {

/** A queue of jobs, found by host and path prefix. */
struct Queue
{
  std::string mHost;
  std::string mPathPrefix;
  QueueSettings mSettings;
  /** Whether calls need no key. */
  bool mPublic = false;

  auto operator<=>(const Queue&) const = default;
};

/** An organisation of the catalog. */
struct CatalogOrganisation
{
  std::string mName;
  std::vector<std::string> mApiKeys;
  /** Accelerators that its most urgent jobs can always have. */
  std::int64_t mGuaranteedAccelerators = 0;

  auto operator<=>(const CatalogOrganisation&) const = default;
};

/** Limits of calls. */
struct CallLimits
{
  std::size_t mMaxBodyBytes = 256UL * 1024;

  auto operator<=>(const CallLimits&) const = default;
};

/** One version of the operator's settings: queues, organisations, limits. */
class Catalog
{
public:
  Catalog() = default;

  /**
   * @param aRowVersion Version of the row in the store, for conditions.
   * @param aOperatorVersion The operator's own number of the version.
   */
  Catalog(std::uint64_t aRowVersion,
          std::uint64_t aOperatorVersion,
          std::vector<Queue> aQueues,
          std::vector<CatalogOrganisation> aOrganisations,
          CallLimits aLimits);

  /** @return 0 before the first version is known. */
  std::uint64_t RowVersion() const { return mRowVersion; }
  std::uint64_t OperatorVersion() const { return mOperatorVersion; }
  const std::vector<Queue>& Queues() const { return mQueues; }
  const std::vector<CatalogOrganisation>& Organisations() const
  {
    return mOrganisations;
  }
  const CallLimits& Limits() const { return mLimits; }

  /**
   * @return The queue of the host whose prefix is the longest that the path
   *   begins with, or null.
   */
  const Queue* FindQueue(std::string_view aHost, std::string_view aPath) const;

  /** @return The name of the organisation that has the key, or null. */
  const std::string* FindOrganisation(std::string_view aKey) const;

  auto operator<=>(const Catalog&) const = default;

private:
  std::uint64_t mRowVersion = 0;
  std::uint64_t mOperatorVersion = 0;
  std::vector<Queue> mQueues;
  std::vector<CatalogOrganisation> mOrganisations;
  CallLimits mLimits;
  /** Positions in mQueues, by host. */
  std::map<std::string, std::vector<std::size_t>, std::less<>> mByHost;
  std::map<std::string, std::string, std::less<>> mByKey;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_CATALOG_H
