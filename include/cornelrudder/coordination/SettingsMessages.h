#ifndef CORNELRUDDER_COORDINATION_SETTINGS_MESSAGES_H
#define CORNELRUDDER_COORDINATION_SETTINGS_MESSAGES_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/SettingsDocument.h"
#include "cornelrudder/state/SettingsSchema.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <string>
#include <vector>

/**
 * @file
 * Messages of the tasks for settings.
 */

namespace cornelrudder::coordination {

/** Asks for the settings in force; the answer is a SettingsSnapshot. */
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
  /** The change has not taken effect and will not. */
  kUnavailable,
  /** The change may have taken effect, or may still do so. */
  kUnknown
};

/** What became of a change. */
struct PutSettingsResult
{
  const PutSettingsStatus mStatus;
  /** The accepted document, or the current one after a conflict. */
  const std::vector<state::SettingsDocument> mDocument;
  const std::vector<state::SettingsViolation> mFaults;

  auto operator<=>(const PutSettingsResult&) const = default;
};

/** Asks the settings task for SettingsAccepted and SettingsHeadRead. */
struct WatchSettings
{
  caf::actor mReceiver;
};

/** A change by an operator came into force through this daemon. */
struct SettingsAccepted
{
  const state::SettingsDocument mDocument;

  auto operator<=>(const SettingsAccepted&) const = default;
};

/** The head was read from the store. */
struct SettingsHeadRead
{
  const state::SettingsHead mHead;

  auto operator<=>(const SettingsHeadRead&) const = default;
};

/** Gives the settings task documents of a peer; older ones have no effect. */
struct ApplyPeerSettings
{
  const std::vector<state::SettingsDocument> mDocuments;

  auto operator<=>(const ApplyPeerSettings&) const = default;
};

/** Asks whether the daemon may serve; the answer is SettingsReadiness. */
struct GetSettingsReadiness
{
  auto operator<=>(const GetSettingsReadiness&) const = default;
};

/** Whether all settings that were known at the start have been read. */
struct SettingsReadiness
{
  const bool mIsReady;

  auto operator<=>(const SettingsReadiness&) const = default;
};

/** A peer holds settings that this daemon does not. */
struct PeerHasNewerSettings
{
  const state::VmId mPeer;

  auto operator<=>(const PeerHasNewerSettings&) const = default;
};

/** Tells a task that it may ask a peer that is ahead again. */
struct CatchUpIntervalElapsed
{
  auto operator<=>(const CatchUpIntervalElapsed&) const = default;
};

} // namespace cornelrudder::coordination

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PutSettingsResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::WatchSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SettingsAccepted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SettingsHeadRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::ApplyPeerSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::GetSettingsReadiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::SettingsReadiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::coordination::PeerHasNewerSettings)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(
  cornelrudder::coordination::CatchUpIntervalElapsed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cornelrudder::state::SettingsSnapshot)

#endif // CORNELRUDDER_COORDINATION_SETTINGS_MESSAGES_H
