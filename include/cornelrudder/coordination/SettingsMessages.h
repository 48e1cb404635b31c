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
 * Messages of the settings task and the settings sync task.
 */

namespace cornelrudder::coordination {

/** Requests the current settings; the response is a SettingsSnapshot. */
struct GetSettings
{
  auto operator<=>(const GetSettings&) const = default;
};

/** Changes one document; the response is a PutSettingsResult. */
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
  /** The change has not taken effect and never will. */
  kUnavailable,
  /** The change may have taken effect, or may yet take effect. */
  kUnknown
};

/** The outcome of a change. */
struct PutSettingsResult
{
  const PutSettingsStatus mStatus;
  /** The accepted document, or the current one after a conflict. */
  const std::vector<state::SettingsDocument> mDocument;
  const std::vector<state::SettingsViolation> mFaults;

  auto operator<=>(const PutSettingsResult&) const = default;
};

/** Subscribes to SettingsAccepted and SettingsHeadRead. */
struct WatchSettings
{
  caf::actor mReceiver;
};

/** Reports an operator's change that this daemon has committed. */
struct SettingsAccepted
{
  const state::SettingsDocument mDocument;

  auto operator<=>(const SettingsAccepted&) const = default;
};

/** Reports the head (the version of each document) read from the store. */
struct SettingsHeadRead
{
  const state::SettingsHead mHead;

  auto operator<=>(const SettingsHeadRead&) const = default;
};

/** Passes documents from a peer to the settings task; it ignores older ones. */
struct ApplyPeerSettings
{
  const std::vector<state::SettingsDocument> mDocuments;

  auto operator<=>(const ApplyPeerSettings&) const = default;
};

/** Requests whether the daemon is ready; the response is SettingsReadiness. */
struct GetSettingsReadiness
{
  auto operator<=>(const GetSettingsReadiness&) const = default;
};

/** Whether all documents of a head from the store or a peer were read. */
struct SettingsReadiness
{
  const bool mIsReady;

  auto operator<=>(const SettingsReadiness&) const = default;
};

/** Reports a peer whose settings are newer than this daemon's. */
struct PeerHasNewerSettings
{
  const state::VmId mPeer;

  auto operator<=>(const PeerHasNewerSettings&) const = default;
};

/** Signals that the next query to a peer with newer settings is allowed. */
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
