#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_STORE_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_STORE_H

#include "TakeoverEvents.h"
#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/Scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::tests {

namespace scheduling = state::scheduling;

/** A row of the table of jobs: a job or its cancellation. */
struct JobRow
{
  std::uint64_t mVersion;
  scheduling::TaskJob mJob;
  bool mIsCancelled;
  /** Actual run time of each task. */
  milliseconds mWorkTime;
};

struct WorkerRow
{
  std::uint64_t mVersion = 0;
  /** Nothing after the removal of the entry. */
  std::optional<scheduling::WorkerInfo> mInfo;
  milliseconds mRefreshedAt{ 0 };
};

/** Contents of the tables, or what changed in them. */
struct Tables
{
  std::uint64_t mVersion = 0;
  std::map<std::string, WorkerRow> mWorkers;
  std::map<std::string, scheduling::JobProgress> mRecords;
  std::vector<JobRow> mJobs;
};

struct StoreReply
{
  state::StoreStatus mStatus = state::StoreStatus::kOutcomeUnknown;
  milliseconds mStoreTime{ 0 };
  /** The lease row, or after a stored write its new version. */
  std::uint64_t mVersion = 0;
  scheduling::OwnerLease mLease{};
  Tables mTables{};
  /** Commands may depend on this reply: an acquisition, or stored records. */
  bool mIsAwaited = false;
};

/** The store with the lease row and the tables that the daemons share. */
class ModelStore
{
public:
  using Operation = std::function<StoreReply(ModelStore&)>;

  /** Makes the store unavailable; outages may overlap. */
  void BeginOutage() { ++mOutages; }
  void EndOutage() { --mOutages; }
  bool IsAvailable() const { return mOutages == 0; }

  /** @return The reply to a call that reaches the store now. */
  StoreReply Execute(const Operation& aOperation, milliseconds aNow);

  StoreReply ReadLease() const;

  /** Replaces the lease row if it still has a version, and stores records. */
  StoreReply WriteLease(std::uint64_t aVersion,
                        const scheduling::OwnerLease& aLease,
                        const std::vector<scheduling::JobProgress>& aRecords);

  template<auto Table>
  StoreReply ReadTable() const
  {
    StoreReply reply;
    reply.mStatus = state::StoreStatus::kOk;
    reply.mTables.mVersion = mTables.mVersion;
    reply.mTables.*Table = mTables.*Table;
    return reply;
  }

  /** @return Workers and jobs that changed after a version of the tables. */
  StoreReply ReadChanges(std::uint64_t aSince) const;

  void AddJob(const scheduling::TaskJob& aJob,
              bool aIsCancelled,
              milliseconds aWorkTime);
  const JobRow& FindJob(const std::string& aId) const;

  /** Writes the entry of a worker. */
  void WriteWorker(const scheduling::WorkerInfo& aInfo, milliseconds aNow);
  void RemoveWorker(const std::string& aId);
  milliseconds RefreshedAt(const std::string& aId) const
  {
    return mTables.mWorkers.at(aId).mRefreshedAt;
  }

  const std::string& Owner() const { return mLease.mOwner; }

private:
  std::uint64_t mLeaseVersion = 0;
  scheduling::OwnerLease mLease;
  Tables mTables;
  int mOutages = 0;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_STORE_H
