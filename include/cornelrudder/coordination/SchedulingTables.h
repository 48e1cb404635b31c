#ifndef CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H
#define CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H

#include <string>

/**
 * @file
 * Rows that scheduling keeps in the store or reads from it. Daemons that take
 * calls write into the table of jobs, only the owner writes into the table of
 * runs, so that neither has to follow its own writes.
 */

namespace cornelrudder::coordination {

/** Accepted jobs and cancellations, written once. */
inline constexpr const char* kJobsTable = "jobs";
/** Progress of jobs, written by the owner. */
inline constexpr const char* kProgressTable = "runs";
/** What workers say of themselves; written by them. */
inline constexpr const char* kWorkersTable = "workers";
/** What operators want; written by them. */
inline constexpr const char* kOperatorTable = "operator";

/** The operator's settings. */
inline constexpr const char* kCatalogKey = "operator/config";
/** Which daemon owns scheduling, and the lengths of queues. */
inline constexpr const char* kOwnerLeaseKey = "owner/lease";

/** Ends the key of a cancellation; sorts right behind the job's own key. */
inline constexpr const char* kCancelSuffix = ".cancel";

inline std::string
JobKey(const std::string& aJob)
{
  return std::string(kJobsTable) + "/" + aJob;
}

inline std::string
CancelKey(const std::string& aJob)
{
  return JobKey(aJob) + kCancelSuffix;
}

inline std::string
ProgressKey(const std::string& aJob)
{
  return std::string(kProgressTable) + "/" + aJob;
}

/** @return The part of a row's key behind the table. */
inline std::string
NameInTable(const std::string& aKey)
{
  return aKey.substr(aKey.find('/') + 1);
}

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H
