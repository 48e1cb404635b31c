#ifndef CORNELRUDDER_COORDINATION_MESSAGES_H
#define CORNELRUDDER_COORDINATION_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/JobCommand.h"
#include "cornelrudder/state/Lease.h"
#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/RunnerExchange.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"
#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/Vm.h"
#include "cornelrudder/state/WorkerExchange.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/**
 * @file
 * Messages between the tasks of one process. They never leave it, so that
 * they need no encoding ("unsafe message type" in CAF's words).
 */

namespace cornelrudder::coordination {

/** Asks a task to send its snapshots to a receiver, at once and on change. */
struct Subscribe
{
  caf::actor mReceiver;
};

/** The daemons that share the runners' slots; includes this one. */
struct MembersView
{
  const std::vector<state::VmId> mDaemons;

  auto operator<=>(const MembersView&) const = default;
};

/** Asks a task for its counters; the answer is Counters. */
struct GetCounters
{
  auto operator<=>(const GetCounters&) const = default;
};

using Counters = std::map<std::string, std::uint64_t>;

/** Reads a row; the answer is a StoreResult. */
struct ReadRow
{
  const std::string mKey;

  auto operator<=>(const ReadRow&) const = default;
};

/** Lists rows; the answer is a StoreResult. */
struct ListRows
{
  const std::string mPrefix;

  auto operator<=>(const ListRows&) const = default;
};

/** Asks for the settings in force; the answer is a SettingsView. */
struct GetSettings
{
  auto operator<=>(const GetSettings&) const = default;
};

/** Asks for a change of one document; the answer is a PutSettingsResult. */
struct PutSettings
{
  const std::string mPath;
  const state::SettingsVersion mExpectedVersion;
  const state::SettingValues mValues;
  const std::string mAuthor;

  auto operator<=>(const PutSettings&) const = default;
};

enum class PutSettingsStatus
{
  kAccepted,
  kRejected,
  kConflict,
  kUnavailable
};

/** What became of a change. */
struct PutSettingsResult
{
  const PutSettingsStatus mStatus;
  /** The accepted document, or the current one after a conflict. */
  const std::vector<state::SettingsDocument> mDocument;
  const std::vector<state::SettingsFault> mFaults;

  auto operator<=>(const PutSettingsResult&) const = default;
};

/** Tells a task that its timer elapsed. */
struct Tick
{
  auto operator<=>(const Tick&) const = default;
};

/** Which daemon owns a placement domain; sent by the lease task. */
struct DomainOwner
{
  const state::RegionId mDomain;
  /** Empty if no owner is known. */
  const std::vector<state::VmId> mOwner;
  /** This daemon's own hold; epoch 0 if another one or nobody owns it. */
  const state::Lease mLease;

  auto operator<=>(const DomainOwner&) const = default;
};

/** Tells the routing task that an attempt ended. */
struct RunFinished
{
  const state::RequestId mRequest;
  const state::VmId mRunner;
  const state::RunnerResult mResult;

  auto operator<=>(const RunFinished&) const = default;
};

/** Tells the membership task what the platform listed. */
struct VmListRead
{
  /** Empty if the read failed. */
  const std::vector<state::VmList> mList;

  auto operator<=>(const VmListRead&) const = default;
};

/** Tells the placement task what a worker answered to a command. */
struct WorkerReported
{
  const state::WorkerCommand mCommand;
  const state::VmId mWorker;
  const state::WorkerReport mReport;

  auto operator<=>(const WorkerReported&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Subscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::MembersView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetCounters)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ReadRow)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ListRows)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettingsResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::DomainOwner)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::RunFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::VmListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::WorkerReported)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::JobReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::RunOutcome)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::SettingsView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::StoreResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::Transaction)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::VmList)

#endif // CORNELRUDDER_COORDINATION_MESSAGES_H
