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

/** Keeps an answer far below the longest frame: a document has a few KB. */
constexpr std::size_t kDocumentsPerNotice = 16;

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
      [this](const Tick&) { AskUntilReady(); },
      [this](const state::SettingsSnapshot& aView) {
        mView = aView;
        CheckReady();
      },
      [this](const SettingsHeadRead& aRead) { Expect(aRead.mHead, "store"); },
      [this](const SettingsAccepted& aAccepted) {
        send(mMembership,
             SendToAllPeers{
               SettingsUpdate({ aAccepted.mDocument }, std::nullopt) });
      },
      [this](const PeerHasNewerSettings& aAhead) { AskAhead(aAhead.mPeer); },
      [this](const CatchUpIntervalElapsed&) { mPausing = false; },
      [this](const PeerMessageReceived& aReceived) {
        Receive(aReceived.mMessage);
      },
      [this](const GetSettingsReadiness&) {
        return SettingsReadiness{ mIsReady };
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

  /** Tasks refer to each other; without this none would be freed. */
  void on_exit() override
  {
    mSettings = nullptr;
    mMembership = nullptr;
  }

private:
  void AskUntilReady()
  {
    if (mIsReady) {
      return;
    }
    send(mMembership, SendToAllPeers{ SettingsQuery(mView.Head()) });
    delayed_send(this, mOptions.mQueryInterval, Tick{});
  }

  void AskAhead(const VmId& aPeer)
  {
    if (mPausing) {
      return;
    }
    mPausing = true;
    delayed_send(this, mOptions.mCatchUpInterval, CatchUpIntervalElapsed{});
    SendTo(aPeer, SettingsQuery(mView.Head()));
  }

  void Receive(const state::PeerMessage& aMessage)
  {
    const auto* notice = std::get_if<SettingsUpdate>(&aMessage.Body());
    const auto* query = std::get_if<SettingsQuery>(&aMessage.Body());
    if (notice != nullptr) {
      Take(aMessage.Sender(), *notice);
    } else if (query != nullptr) {
      Answer(aMessage.Sender(), *query);
    }
  }

  void Take(const VmId& aSender, const SettingsUpdate& aNotice)
  {
    std::vector<SettingsDocument> newer;
    for (const SettingsDocument& document : aNotice.Documents()) {
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
    if (aNotice.Head()) {
      Expect(*aNotice.Head(), aSender.Text());
    }
  }

  bool IsNewer(const SettingsDocument& aDocument) const
  {
    const SettingsDocument* held = mView.Find(aDocument.Path());
    return held == nullptr || held->Version() < aDocument.Version();
  }

  /**
   * Answers only when ready: a peer takes the answer for all settings that
   * there are.
   */
  void Answer(const VmId& aSender, const SettingsQuery& aQuery)
  {
    if (!mIsReady) {
      return;
    }
    std::vector<SettingsDocument> documents;
    for (const auto& [path, document] : mView.All()) {
      const auto it = aQuery.KnownVersions().find(path);
      if (it != aQuery.KnownVersions().end() &&
          it->second >= document.Version()) {
        continue;
      }
      documents.push_back(document);
      if (documents.size() == kDocumentsPerNotice) {
        SendTo(aSender, SettingsUpdate(std::move(documents), mView.Head()));
        documents.clear();
      }
    }
    SendTo(aSender, SettingsUpdate(std::move(documents), mView.Head()));
  }

  void SendTo(const VmId& aPeer, state::PeerBody aBody)
  {
    // A loss is made good by the next query or by the store.
    request(mMembership, caf::infinite, SendToPeer{ aPeer, std::move(aBody) })
      .then([](bool) {}, [](const caf::error&) {});
  }

  /** Notes which versions must be held before the daemon is ready. */
  void Expect(const state::SettingsHead& aHead, const std::string& aSource)
  {
    if (mIsReady) {
      return;
    }
    mSource = aSource;
    mExpected = aHead;
    CheckReady();
  }

  void CheckReady()
  {
    if (mIsReady || !mExpected) {
      return;
    }
    mIsReady = std::all_of(
      mExpected->begin(), mExpected->end(), [this](const auto& aEntry) {
        const SettingsDocument* held = mView.Find(aEntry.first);
        return held != nullptr && held->Version() >= aEntry.second;
      });
    if (mIsReady) {
      mLog.Write({ LogEvent::kReady,
                   { { "source", mSource },
                     { "documents", std::to_string(mView.All().size()) } } });
    }
  }

  caf::actor mSettings;
  caf::actor mMembership;
  EventLog& mLog;
  SettingsSyncTaskOptions mOptions;
  state::SettingsSnapshot mView;
  std::optional<state::SettingsHead> mExpected;
  std::string mSource;
  bool mIsReady = false;
  bool mPausing = false;
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
