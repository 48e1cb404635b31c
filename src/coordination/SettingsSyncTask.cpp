#include "cornelrudder/coordination/SettingsSyncTask.h"

#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

using state::SettingsDocument;
using state::SettingsQuery;
using state::SettingsUpdate;
using state::VmId;

/** Keeps an update far below the frame size limit: a document has a few KB. */
constexpr std::size_t kDocumentsPerUpdate = 16;

class SettingsSyncTask : public caf::event_based_actor
{
public:
  SettingsSyncTask(caf::actor_config& aConfig,
                   caf::actor aSettings,
                   caf::actor aMembership,
                   EventLog& aLog,
                   SettingsSyncTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mSettings(std::move(aSettings))
    , mMembership(std::move(aMembership))
    , mLog(aLog)
    , mOptions(aOptions)
  {
  }

  caf::behavior make_behavior() override
  {
    send(mSettings, Subscribe{ this });
    send(mSettings, WatchSettings{ this });
    send(this, Tick{});
    return {
      [this](const Tick&) { QueryPeersUntilReady(); },
      [this](const state::SettingsSnapshot& aSnapshot) {
        mSnapshot = aSnapshot;
        CheckReady();
      },
      [this](const SettingsHeadRead& aRead) {
        SetExpectedHead(aRead.mHead, "store");
      },
      [this](const SettingsAccepted& aAccepted) {
        send(mMembership,
             SendToAllPeers{
               SettingsUpdate({ aAccepted.mDocument }, std::nullopt) });
      },
      [this](const PeerHasNewerSettings& aNewer) {
        QueryNewerPeer(aNewer.mPeer);
      },
      [this](const CatchUpIntervalElapsed&) { mCatchUpPaused = false; },
      [this](const PeerMessageReceived& aReceived) {
        HandlePeerMessage(aReceived.mMessage);
      },
      [this](const GetSettingsReadiness&) {
        return SettingsReadiness{ mIsReady };
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

  /** Breaks reference cycles between tasks, which would keep them alive. */
  void on_exit() override
  {
    mSettings = nullptr;
    mMembership = nullptr;
  }

private:
  void QueryPeersUntilReady()
  {
    if (mIsReady) {
      return;
    }
    send(mMembership, SendToAllPeers{ SettingsQuery(mSnapshot.Head()) });
    delayed_send(this, mOptions.mQueryInterval, Tick{});
  }

  void QueryNewerPeer(const VmId& aPeer)
  {
    if (mCatchUpPaused) {
      return;
    }
    mCatchUpPaused = true;
    delayed_send(this, mOptions.mCatchUpInterval, CatchUpIntervalElapsed{});
    SendTo(aPeer, SettingsQuery(mSnapshot.Head()));
  }

  void HandlePeerMessage(const state::PeerMessage& aMessage)
  {
    const auto* update = std::get_if<SettingsUpdate>(&aMessage.Body());
    const auto* query = std::get_if<SettingsQuery>(&aMessage.Body());
    if (update != nullptr) {
      ApplyUpdate(aMessage.Sender(), *update);
    } else if (query != nullptr) {
      ReplyToQuery(aMessage.Sender(), *query);
    }
  }

  void ApplyUpdate(const VmId& aSender, const SettingsUpdate& aUpdate)
  {
    std::vector<SettingsDocument> newer;
    for (const SettingsDocument& document : aUpdate.Documents()) {
      if (IsNewer(document)) {
        newer.push_back(document);
      }
    }
    if (!newer.empty()) {
      ++mCounters["settings_from_peers_total"];
      mLog.Write({ LogEvent::kSettingsFromPeer,
                   { { "peer", aSender.Text() },
                     { "documents", std::to_string(newer.size()) } } });
      send(mSettings, ApplyPeerSettings{ std::move(newer) });
    }
    if (aUpdate.Head()) {
      SetExpectedHead(*aUpdate.Head(), aSender.Text());
    }
  }

  bool IsNewer(const SettingsDocument& aDocument) const
  {
    const SettingsDocument* known = mSnapshot.Find(aDocument.Path());
    return known == nullptr || known->Version() < aDocument.Version();
  }

  /**
   * Replies only when ready, because the peer treats the head in the reply as
   * the complete list of settings.
   */
  void ReplyToQuery(const VmId& aSender, const SettingsQuery& aQuery)
  {
    if (!mIsReady) {
      return;
    }
    std::vector<SettingsDocument> documents;
    for (const auto& [path, document] : mSnapshot.All()) {
      const auto it = aQuery.KnownVersions().find(path);
      if (it != aQuery.KnownVersions().end() &&
          it->second >= document.Version()) {
        continue;
      }
      documents.push_back(document);
      if (documents.size() == kDocumentsPerUpdate) {
        SendTo(aSender, SettingsUpdate(std::move(documents), mSnapshot.Head()));
        documents.clear();
      }
    }
    SendTo(aSender, SettingsUpdate(std::move(documents), mSnapshot.Head()));
  }

  void SendTo(const VmId& aPeer, state::PeerBody aBody)
  {
    // A lost message needs no retry: the next query or the next poll of the
    // store delivers the same documents.
    request(mMembership, caf::infinite, SendToPeer{ aPeer, std::move(aBody) })
      .then([](bool) {}, [](const caf::error&) {});
  }

  /** Sets the versions that must be known before the daemon is ready. */
  void SetExpectedHead(const state::SettingsHead& aHead,
                       const std::string& aSource)
  {
    if (mIsReady) {
      return;
    }
    mHeadSource = aSource;
    mExpectedHead = aHead;
    CheckReady();
  }

  void CheckReady()
  {
    if (mIsReady || !mExpectedHead) {
      return;
    }
    mIsReady = std::all_of(
      mExpectedHead->begin(), mExpectedHead->end(), [this](const auto& aEntry) {
        const SettingsDocument* known = mSnapshot.Find(aEntry.first);
        return known != nullptr && known->Version() >= aEntry.second;
      });
    if (mIsReady) {
      mLog.Write(
        { LogEvent::kReady,
          { { "source", mHeadSource },
            { "documents", std::to_string(mSnapshot.All().size()) } } });
    }
  }

  caf::actor mSettings;
  caf::actor mMembership;
  EventLog& mLog;
  SettingsSyncTaskOptions mOptions;
  state::SettingsSnapshot mSnapshot;
  std::optional<state::SettingsHead> mExpectedHead;
  std::string mHeadSource;
  bool mIsReady = false;
  bool mCatchUpPaused = false;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnSettingsSyncTask(caf::actor_system& aSystem,
                      const caf::actor& aSettings,
                      const caf::actor& aMembership,
                      EventLog& aLog,
                      SettingsSyncTaskOptions aOptions)
{
  return aSystem.spawn<SettingsSyncTask>(
    aSettings, aMembership, std::ref(aLog), aOptions);
}

} // namespace cornelrudder::coordination
