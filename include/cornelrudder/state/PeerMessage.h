#ifndef CORNELRUDDER_STATE_PEER_MESSAGE_H
#define CORNELRUDDER_STATE_PEER_MESSAGE_H

#include "cornelrudder/state/Ids.h"
#include "cornelrudder/state/JobCommand.h"
#include "cornelrudder/state/SettingsDocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelrudder::state {

/**
 * Number of a daemon process; it increases with each restart. Daemons have no
 * disk for a counter, so the wall-clock time of the start is used.
 */
using Incarnation = std::uint64_t;

/** Reports that a daemon is alive, its addresses and its settings version. */
class Heartbeat
{
public:
  /**
   * @param aHttpAddress Address for callers, "a.b.c.d:port".
   * @param aPeerAddress Address for other daemons.
   * @param aLeaving Whether the daemon is shutting down.
   * @param aSettingsVersionSum Sum of the versions of its settings documents.
   */
  Heartbeat(ZoneId aZone,
            std::string aHttpAddress,
            std::string aPeerAddress,
            bool aLeaving,
            SettingsVersion aSettingsVersionSum)
    : mZone(std::move(aZone))
    , mHttpAddress(std::move(aHttpAddress))
    , mPeerAddress(std::move(aPeerAddress))
    , mLeaving(aLeaving)
    , mSettingsVersionSum(aSettingsVersionSum)
  {
  }

  const ZoneId& Zone() const { return mZone; }
  const std::string& HttpAddress() const { return mHttpAddress; }
  const std::string& PeerAddress() const { return mPeerAddress; }
  bool Leaving() const { return mLeaving; }

  /**
   * Increases by one with each accepted change, like the version of the head
   * row; a daemon with a lower sum lacks changes.
   */
  SettingsVersion SettingsVersionSum() const { return mSettingsVersionSum; }

  auto operator<=>(const Heartbeat&) const = default;

private:
  ZoneId mZone;
  std::string mHttpAddress;
  std::string mPeerAddress;
  bool mLeaving;
  SettingsVersion mSettingsVersionSum;
};

/** Documents for a peer: a change, or a part of the reply to a query. */
class SettingsUpdate
{
public:
  /**
   * @param aHead Versions of all documents, so that the receiver can tell when
   *   it has all of them; only in the reply to a query.
   */
  SettingsUpdate(std::vector<SettingsDocument> aDocuments,
                 std::optional<SettingsHead> aHead)
    : mDocuments(std::move(aDocuments))
    , mHead(std::move(aHead))
  {
  }

  const std::vector<SettingsDocument>& Documents() const { return mDocuments; }
  const std::optional<SettingsHead>& Head() const { return mHead; }

  auto operator<=>(const SettingsUpdate&) const = default;

private:
  std::vector<SettingsDocument> mDocuments;
  std::optional<SettingsHead> mHead;
};

/** Asks a peer for documents that are newer than the known versions. */
class SettingsQuery
{
public:
  explicit SettingsQuery(SettingsHead aKnownVersions)
    : mKnownVersions(std::move(aKnownVersions))
  {
  }

  const SettingsHead& KnownVersions() const { return mKnownVersions; }

  auto operator<=>(const SettingsQuery&) const = default;

private:
  SettingsHead mKnownVersions;
};

/** A job command, forwarded to the owner of the placement domain. */
class ForwardRequest
{
public:
  /** @param aCorrelation Number of the command, unique in one incarnation. */
  ForwardRequest(std::uint64_t aCorrelation, JobCommand aCommand)
    : mCorrelation(aCorrelation)
    , mCommand(std::move(aCommand))
  {
  }

  std::uint64_t Correlation() const { return mCorrelation; }
  const JobCommand& Command() const { return mCommand; }

  auto operator<=>(const ForwardRequest&) const = default;

private:
  std::uint64_t mCorrelation;
  JobCommand mCommand;
};

/** The reply to a ForwardRequest. */
class ForwardReply
{
public:
  /**
   * @param aRequesterIncarnation Incarnation that sent the command. A restarted
   *   daemon reuses correlation numbers and must ignore replies to its former
   *   incarnation.
   */
  ForwardReply(Incarnation aRequesterIncarnation,
               std::uint64_t aCorrelation,
               JobReply aReply)
    : mRequesterIncarnation(aRequesterIncarnation)
    , mCorrelation(aCorrelation)
    , mReply(std::move(aReply))
  {
  }

  Incarnation RequesterIncarnation() const { return mRequesterIncarnation; }
  std::uint64_t Correlation() const { return mCorrelation; }
  const JobReply& Reply() const { return mReply; }

  auto operator<=>(const ForwardReply&) const = default;

private:
  Incarnation mRequesterIncarnation;
  std::uint64_t mCorrelation;
  JobReply mReply;
};

/** Indexed by the type number on the wire; append new types at the end. */
using PeerBody = std::variant<Heartbeat,
                              SettingsUpdate,
                              SettingsQuery,
                              ForwardRequest,
                              ForwardReply>;

/** @return The name of the message type of a body. */
std::string_view
PeerBodyName(const PeerBody& aBody);

/** A message between daemons. */
class PeerMessage
{
public:
  PeerMessage(VmId aSender, Incarnation aIncarnation, PeerBody aBody)
    : mSender(std::move(aSender))
    , mIncarnation(aIncarnation)
    , mBody(std::move(aBody))
  {
  }

  const VmId& Sender() const { return mSender; }
  Incarnation SenderIncarnation() const { return mIncarnation; }
  const PeerBody& Body() const { return mBody; }

  auto operator<=>(const PeerMessage&) const = default;

private:
  VmId mSender;
  Incarnation mIncarnation;
  PeerBody mBody;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_PEER_MESSAGE_H
