#ifndef CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H
#define CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H

#include "cornelrudder/state/StoreRow.h"

#include <string>

/**
 * @file
 * Names and keys of the store rows that scheduling reads and writes. Any
 * daemon that serves calls writes to the jobs table; only the owner writes to
 * the runs table. The owner therefore polls only the jobs table and never its
 * own writes.
 */

namespace cornelrudder::coordination {

/** Accepted jobs, cancellations and withdrawals; each row is written once. */
inline constexpr const char* kJobsTable = "jobs";
/** Progress of jobs; written only by the owner. */
inline constexpr const char* kProgressTable = "runs";
/** Registrations of workers; written by the workers. */
inline constexpr const char* kWorkersTable = "workers";
/** Settings; written by operators. */
inline constexpr const char* kOperatorTable = "operator";

/** Row of the operator's settings. */
inline constexpr const char* kCatalogKey = "operator/config";
/** Keys of evacuated zones: the prefix and the name of the zone. */
inline constexpr const char* kEvacuationPrefix = "operator/evacuate/";
/** Row of the scheduling owner's lease, with the lengths of the queues. */
inline constexpr const char* kOwnerLeaseKey = "owner/lease";

/** Key suffix of a cancellation; its row sorts right after the job's row. */
inline constexpr const char* kCancelSuffix = ".cancel";

/**
 * Key suffix of a withdrawal, before the name of the organisation: the answer
 * to a cancellation was that there is no such job. A submission by the same
 * organisation under this identifier is not stored while the row exists.
 */
inline constexpr const char* kWithdrawnSuffix = ".withdrawn.";

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

/**
 * @return Key of a withdrawal. Organisations choose their identifiers
 *   independently, so one of them does not withdraw the jobs of another.
 */
inline std::string
WithdrawnKey(const std::string& aJob, const std::string& aOrganisation)
{
  return JobKey(aJob) + kWithdrawnSuffix + aOrganisation;
}

/**
 * @param aPart Number of the part of a divided record. The first part has the
 *   key of an undivided record.
 */
inline std::string
ProgressKey(const std::string& aJob, std::size_t aPart = 0)
{
  return std::string(kProgressTable) + "/" + aJob +
         (aPart > 0 ? "." + std::to_string(aPart) : "");
}

/** @return The job of a progress row; job ids have no dots. */
inline std::string
JobOfProgressRow(const std::string& aName)
{
  return aName.substr(0, aName.find('.'));
}

/** @return The part of a row's key after the table name and the slash. */
inline std::string
NameInTable(const std::string& aKey)
{
  return aKey.substr(aKey.find('/') + 1);
}

/**
 * @return Start of the next page of a table: sorts after the last name of a
 *   page and before any other name that follows it, since names have no control
 *   characters.
 */
inline std::string
NextPageStart(const state::StoreResult& aPage)
{
  return NameInTable(aPage.Rows().back().Key()) + "\x01";
}

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SCHEDULING_TABLES_H
