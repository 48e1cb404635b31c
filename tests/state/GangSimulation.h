#ifndef CORNELRUDDER_TESTS_STATE_GANG_SIMULATION_H
#define CORNELRUDDER_TESTS_STATE_GANG_SIMULATION_H

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

/** Transition function under test; a faulty one shows that checks detect it. */
using GangTransition =
  std::function<state::GangStep(const state::Gang&, const state::GangEvent&)>;

/** @return The transition function that calls Gang::Handle(). */
GangTransition
RealTransition();

/**
 * Simulates one gang job with its table row, its workers, its owner and the
 * messages in flight between them. The caller chooses each next step.
 */
class GangSimulation
{
public:
  GangSimulation(GangTransition aTransition, int aMembers, bool aIdempotent);

  /** Executes one step; the number selects the action and its target. */
  void Step(std::uint16_t aChoice);

  /**
   * Delivers all messages without further faults until the job must be final,
   * and checks its final state.
   */
  void RunToCompletion();

  /** @return The first rule that was violated, or an empty text. */
  const std::string& Violation() const { return mViolation; }

  const state::Job& RecordedJob() const { return mRow.mJob; }
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
    std::uint64_t mIncarnation;
    std::string mWriteId;
    std::uint64_t mVersion;
    state::Job mJob;
  };

  struct SentCommand
  {
    state::WorkerCommand mCommand;
    std::size_t mWorker;
    std::chrono::milliseconds mSentAt;
  };

  struct PendingReply
  {
    state::WorkerCommand mCommand;
    state::WorkerReply mReply;
  };

  struct Owner
  {
    std::uint64_t mIncarnation;
    std::uint64_t mEpoch;
    state::Gang mGang;
    std::uint64_t mVersion;
    std::optional<PendingWrite> mWrite;
    /** Whether the row must be read to determine the outcome of the write. */
    bool mMustRead = false;
  };

  struct Action
  {
    int mWeight;
    void (GangSimulation::*mRun)(std::size_t);
  };

  static const std::vector<Action> kActions;

  void DeliverCommand(std::size_t aIndex);
  void LoseCommand(std::size_t aIndex);
  void LoseReply(std::size_t aIndex);
  void DeliverReply(std::size_t aIndex);
  void ApplyWrite(std::size_t aIndex);
  void ApplyWriteSilently(std::size_t aIndex);
  void DelayWrite(std::size_t aIndex);
  void ReadRow(std::size_t aIndex);
  void AdvanceTime(std::size_t aIndex);
  void CrashWorker(std::size_t aIndex);
  void ToggleFailAll(std::size_t aIndex);
  void ToggleWorkerPartition(std::size_t aIndex);
  void CrashOwner(std::size_t aIndex);
  void FailOver(std::size_t aIndex);
  void LoseLease(std::size_t aIndex);
  void Cancel(std::size_t aIndex);
  void Preempt(std::size_t aIndex);
  void Place(std::size_t aIndex);

  void DeliverAll(std::size_t aIndex);

  void HandleEvent(const state::GangEvent& aEvent);
  void ApplyStep(state::GangStep aStep);
  void ExecuteCommand(const state::GangCommand& aCommand);
  void SendWrite();
  bool ApplyToTable(const PendingWrite& aWrite);
  void CheckRow(const state::Job& aBefore, const state::Job& aAfter);
  void CheckStart(const state::WorkerCommand& aCommand);
  void CheckWorkers();
  void RecordViolation(const std::string& aRule);
  std::size_t WorkerOf(const state::VmId& aWorker) const;

  GangTransition mTransition;
  int mMembers;
  bool mIdempotent;
  std::chrono::milliseconds mNow{ 0 };
  StoredRow mRow;
  std::vector<tools::WorkerModel> mWorkers;
  std::vector<std::size_t> mJournalRead;
  /** Workers to which no command can be delivered. */
  std::set<std::size_t> mPartitioned;
  std::vector<SentCommand> mSent;
  std::vector<PendingReply> mReplies;
  std::vector<PendingWrite> mWrites;
  std::optional<Owner> mOwner;
  std::uint64_t mLastEpoch = 1;
  std::uint64_t mLastIncarnation = 0;
  std::uint64_t mLastWriteId = 0;
  std::uint32_t mLastPlacedAttempt = 0;
  std::set<std::pair<std::uint32_t, int>> mCommittedMembers;
  std::set<std::pair<std::uint32_t, int>> mFinishedMembers;
  bool mEverStarted = false;
  std::string mViolation;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_GANG_SIMULATION_H
