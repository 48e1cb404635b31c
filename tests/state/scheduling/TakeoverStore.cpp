#include "TakeoverStore.h"

#include <algorithm>
#include <iterator>

namespace cornelrudder::tests {

using state::StoreStatus;
using namespace state::scheduling;

StoreReply
ModelStore::Execute(const Operation& aOperation, milliseconds aNow)
{
  StoreReply reply;
  reply.mStatus = StoreStatus::kUnavailable;
  if (IsAvailable()) {
    reply = aOperation(*this);
    reply.mStoreTime = aNow + milliseconds(1);
  }
  return reply;
}

StoreReply
ModelStore::ReadLease() const
{
  StoreReply reply;
  reply.mStatus = StoreStatus::kOk;
  reply.mVersion = mLeaseVersion;
  reply.mLease = mLease;
  return reply;
}

StoreReply
ModelStore::WriteLease(std::uint64_t aVersion,
                       const OwnerLease& aLease,
                       const std::vector<JobProgress>& aRecords)
{
  const bool isCurrent = mLeaseVersion == aVersion;
  const bool isAwaited = aLease.mEpoch != mLease.mEpoch || !aRecords.empty();
  if (isCurrent) {
    mLease = aLease;
    mLeaseVersion = ++mTables.mVersion;
    for (const JobProgress& record : aRecords) {
      mTables.mRecords.insert_or_assign(record.Job(), record);
    }
  }
  StoreReply reply = ReadLease();
  reply.mStatus = isCurrent ? StoreStatus::kOk : StoreStatus::kConflict;
  reply.mIsAwaited = isCurrent && isAwaited;
  return reply;
}

StoreReply
ModelStore::ReadChanges(std::uint64_t aSince) const
{
  StoreReply reply;
  reply.mStatus = StoreStatus::kOk;
  reply.mTables.mVersion = mTables.mVersion;
  for (const auto& [id, row] : mTables.mWorkers) {
    if (row.mVersion > aSince) {
      reply.mTables.mWorkers.emplace(id, row);
    }
  }
  std::copy_if(mTables.mJobs.begin(),
               mTables.mJobs.end(),
               std::back_inserter(reply.mTables.mJobs),
               [aSince](const JobRow& aRow) { return aRow.mVersion > aSince; });
  return reply;
}

void
ModelStore::AddJob(const TaskJob& aJob,
                   bool aIsCancelled,
                   milliseconds aWorkTime)
{
  mTables.mJobs.push_back(
    { ++mTables.mVersion, aJob, aIsCancelled, aWorkTime });
}

const JobRow&
ModelStore::FindJob(const std::string& aId) const
{
  return *std::find_if(
    mTables.mJobs.begin(), mTables.mJobs.end(), [&](const JobRow& aRow) {
      return aRow.mJob.Id() == aId;
    });
}

void
ModelStore::WriteWorker(const WorkerInfo& aInfo, milliseconds aNow)
{
  mTables.mWorkers[aInfo.mId] = { ++mTables.mVersion, aInfo, aNow };
}

void
ModelStore::RemoveWorker(const std::string& aId)
{
  WorkerRow& row = mTables.mWorkers[aId];
  if (row.mInfo) {
    row.mVersion = ++mTables.mVersion;
    row.mInfo.reset();
  }
}

} // namespace cornelrudder::tests
