#ifndef CORNELRUDDER_STATE_SCHEDULING_CATALOG_H
#define CORNELRUDDER_STATE_SCHEDULING_CATALOG_H

#include "cornelrudder/state/scheduling/TaskJob.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cornelrudder::state::scheduling {

/** A job queue, selected by host and path prefix. */
struct Queue
{
  std::string mHost;
  std::string mPathPrefix;
  QueueSettings mSettings;
  /** Whether submissions need no API key. */
  bool mPublic = false;

  auto operator<=>(const Queue&) const = default;
};

/** An organisation in the catalog. */
struct CatalogOrganisation
{
  std::string mName;
  std::vector<std::string> mApiKeys;
  /**
   * Accelerators that urgent jobs (priority 0) can reclaim by preempting other
   * work.
   */
  std::int64_t mGuaranteedAccelerators = 0;

  auto operator<=>(const CatalogOrganisation&) const = default;
};

/** Limits for API calls. */
struct CallLimits
{
  std::size_t mMaxBodyBytes = 256UL * 1024;

  auto operator<=>(const CallLimits&) const = default;
};

/** One version of the operator's settings: queues, organisations and limits. */
class Catalog
{
public:
  Catalog() = default;

  /**
   * @param aRowVersion Version of the row in the store, for conditional writes.
   * @param aOperatorVersion Version number assigned by the operator.
   */
  Catalog(std::uint64_t aRowVersion,
          std::uint64_t aOperatorVersion,
          std::vector<Queue> aQueues,
          std::vector<CatalogOrganisation> aOrganisations,
          CallLimits aLimits);

  /** @return Version of the row in the store; 0 until a version is loaded. */
  std::uint64_t RowVersion() const { return mRowVersion; }
  std::uint64_t OperatorVersion() const { return mOperatorVersion; }
  const std::vector<Queue>& Queues() const { return mQueues; }
  const std::vector<CatalogOrganisation>& Organisations() const
  {
    return mOrganisations;
  }
  const CallLimits& Limits() const { return mLimits; }

  /**
   * @return The queue of the host with the longest prefix that matches the
   *   path, or null.
   */
  const Queue* FindQueue(std::string_view aHost, std::string_view aPath) const;

  /** @return Name of the organisation that owns an API key, or null. */
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
