#ifndef CORNELRUDDER_TESTS_STATE_GANG_WORLD_H
#define CORNELRUDDER_TESTS_STATE_GANG_WORLD_H

#include "WorkerModel.h"
#include "cornelrudder/state/Gang.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** The machine under test; a broken one shows that the checks work. */
using GangMachine =
  std::function<state::GangStep(const state::Gang&, const state::GangEvent&)>;

/** @return What Gang::Handle gives. */
GangMachine
RealMachine();

/**
 * One gang job with its row, its workers, its owner and everything that is
 * under way between them. A schedule decides what happens next.
 */
class GangWorld
{
public:
  GangWorld(GangMachine aMachine, int aMembers, bool aIdempotent);

  /** Carries out one step; the number selects what, and on which message. */
  void Step(std::uint16_t aChoice);

  /** Lets everything be delivered and all leases run out. */
  void Settle();

  /** @return The first rule that was broken, or empty. */
  const std::string& Violation() const { return mViolation; }

  const state::Job& Row() const { return mRow.mJob; }
  bool EverStarted() const { return mEverStarted; }

private:
  struct StoredRow
  {
    std::uint64_t mVersion = 0;
    std::string mWriteId;
    state::Job mJob;
  };

  struct PendingWrite
  {
    std::uint64_t mLife;
    std::string mWriteId;
    std::uint64_t mVersion;
    state::Job mJob;
  };

  struct Sent
  {
    state::WorkerCommand mCommand;
    std::size_t mWorker;
    std::chrono::milliseconds mAt;
  };

  struct Reported
  {
    state::WorkerCommand mCommand;
    state::WorkerReply mReport;
  };

  struct Owner
  {
    std::uint64_t mLife;
    std::uint64_t mEpoch;
    state::Gang mGang;
    std::uint64_t mVersion;
    std::optional<PendingWrite> mWrite;
    /** Whether the outcome of the write must be read. */
    bool mMustRead = false;
  };

  struct Action
  {
    int mWeight;
    void (GangWorld::*mRun)(std::size_t);
  };

  static const std::vector<Action> kActions;

  void Deliver(std::size_t aIndex);
  void LoseCommand(std::size_t aIndex);
  void LoseReport(std::size_t aIndex);
  void DeliverReport(std::size_t aIndex);
  void ApplyWrite(std::size_t aIndex);
  void ApplyWriteSilently(std::size_t aIndex);
  void DelayWrite(std::size_t aIndex);
  void ReadRow(std::size_t aIndex);
  void PassTime(std::size_t aIndex);
  void CrashWorker(std::size_t aIndex);
  void ToggleFailAll(std::size_t aIndex);
  void CutWorker(std::size_t aIndex);
  void CrashOwner(std::size_t aIndex);
  void TakeOver(std::size_t aIndex);
  void LoseLease(std::size_t aIndex);
  void Cancel(std::size_t aIndex);
  void Preempt(std::size_t aIndex);
  void Place(std::size_t aIndex);

  void Flow(std::size_t aIndex);

  void Feed(const state::GangEvent& aEvent);
  void Take(state::GangStep aStep);
  void Run(const state::GangCommand& aCommand);
  void SendWrite();
  bool Apply(const PendingWrite& aWrite);
  void CheckRow(const state::Job& aBefore, const state::Job& aAfter);
  void CheckStart(const state::WorkerCommand& aCommand);
  void CheckWorkers();
  void Fail(const std::string& aRule);
  std::size_t WorkerOf(const state::VmId& aWorker) const;

  GangMachine mMachine;
  int mMembers;
  bool mIdempotent;
  std::chrono::milliseconds mNow{ 0 };
  StoredRow mRow;
  std::vector<tools::WorkerModel> mWorkers;
  std::vector<std::size_t> mRead;
  /** Workers that no command reaches. */
  std::set<std::size_t> mCut;
  std::vector<Sent> mSent;
  std::vector<Reported> mReported;
  std::vector<PendingWrite> mWrites;
  std::optional<Owner> mOwner;
  std::uint64_t mLastEpoch = 1;
  std::uint64_t mLastLife = 0;
  std::uint64_t mLastWriteId = 0;
  std::uint32_t mLastPlaced = 0;
  std::set<std::pair<std::uint32_t, int>> mCommitted;
  std::set<std::pair<std::uint32_t, int>> mFinished;
  bool mEverStarted = false;
  std::string mViolation;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_GANG_WORLD_H
