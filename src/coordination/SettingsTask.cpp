#include "cornelrudder/coordination/SettingsTask.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/Messages.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/typed_response_promise.hpp>

namespace cornelrudder::coordination {

namespace {

using state::SettingsDocument;
using state::StoreResult;
using state::StoreStatus;

const std::string kHeadKey = "settings/head";
const std::string kDocumentPrefix = "settings/doc/";

/** Limits retries after conflicts on the head and unknown outcomes. */
constexpr int kMaxHeadRetries = 20;

class SettingsTask : public caf::event_based_actor
{
public:
  SettingsTask(caf::actor_config& aConfig,
               caf::actor aStore,
               const RowCodec& aCodec,
               EventLog& aLog,
               WriteIdGenerator aWriteIds,
               SettingsTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mStore(std::move(aStore))
    , mCodec(aCodec)
    , mLog(aLog)
    , mWriteIds(std::move(aWriteIds))
    , mOptions(aOptions)
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { PollHead(); },
      [this](const GetSettings&) { return mSnapshot; },
      [this](const PutSettings& aPut) { return StartPut(aPut); },
      [this](const Subscribe& aSubscribe) {
        mSubscribers.push_back(aSubscribe.mReceiver);
        send(aSubscribe.mReceiver, mSnapshot);
      },
      [this](const WatchSettings& aWatch) {
        mWatchers.push_back(aWatch.mReceiver);
      },
      [this](const ApplyPeerSettings& aApply) {
        for (const SettingsDocument& document : aApply.mDocuments) {
          ApplyDocument(document);
        }
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  struct Change
  {
    PutSettings mPut;
    caf::typed_response_promise<PutSettingsResult> mPromise;
    std::string mWriteId;
    int mRetries = 0;
    /** Whether a write with an unknown outcome may still take effect. */
    bool mMayTakeEffect = false;
  };

  using ChangePtr = std::shared_ptr<Change>;

  /** Reads a row; an error of the store task counts as unknown outcome. */
  template<typename Handler>
  void Read(const std::string& aKey, Handler aHandler)
  {
    RequestStore(ReadRow{ aKey }, std::move(aHandler));
  }

  template<typename Message, typename Handler>
  void RequestStore(Message aMessage, Handler aHandler)
  {
    request(mStore, caf::infinite, std::move(aMessage))
      .then([aHandler](const StoreResult& aResult) { aHandler(aResult); },
            [aHandler](const caf::error&) {
              aHandler(StoreResult(StoreStatus::kOutcomeUnknown, {}));
            });
  }

  void PollHead()
  {
    Read(kHeadKey, [this](const StoreResult& aResult) {
      delayed_send(this, mOptions.mPollInterval, Tick{});
      if (aResult.Status() != StoreStatus::kOk) {
        return;
      }
      if (aResult.Rows().empty()) {
        NotifyWatchers(SettingsHeadRead{ {} });
        return;
      }
      ReadNewerDocuments(aResult.Rows().front());
    });
  }

  void ReadNewerDocuments(const state::StoreRow& aHeadRow)
  {
    const auto head = DecodeHead(aHeadRow);
    if (!head) {
      return;
    }
    NotifyWatchers(SettingsHeadRead{ *head });
    for (const auto& [path, version] : *head) {
      const SettingsDocument* known = mSnapshot.Find(path);
      if (known != nullptr && known->Version() >= version) {
        continue;
      }
      Read(kDocumentPrefix + path, [this](const StoreResult& aResult) {
        if (aResult.Status() != StoreStatus::kOk || aResult.Rows().empty()) {
          return;
        }
        if (const auto document = DecodeDocument(aResult.Rows().front())) {
          ApplyDocument(*document);
        }
      });
    }
  }

  /** @return The decoded row, or nothing (and an event) if it is malformed. */
  std::optional<state::SettingsHead> DecodeHead(const state::StoreRow& aRow)
  {
    return Decode(aRow, &RowCodec::DecodeHead);
  }

  std::optional<SettingsDocument> DecodeDocument(const state::StoreRow& aRow)
  {
    return Decode(aRow, &RowCodec::DecodeDocument);
  }

  template<typename Value>
  std::optional<Value> Decode(const state::StoreRow& aRow,
                              Value (RowCodec::*aDecoder)(const std::string&)
                                const)
  {
    try {
      return (mCodec.*aDecoder)(aRow.Value());
    } catch (const CoordinationError& error) {
      ++mCounters["rows_malformed_total"];
      mLog.Write({ LogEvent::kRowMalformed,
                   { { "key", aRow.Key() }, { "error", error.what() } } });
      return std::nullopt;
    }
  }

  void ApplyDocument(const SettingsDocument& aDocument)
  {
    auto view = mSnapshot.WithDocument(aDocument);
    if (!view) {
      return;
    }
    mSnapshot = *std::move(view);
    ++mCounters["settings_applied_total"];
    mLog.Write({ LogEvent::kSettingsApplied,
                 { { "path", aDocument.Path() },
                   { "version", std::to_string(aDocument.Version()) } } });
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, mSnapshot);
    }
  }

  template<typename Message>
  void NotifyWatchers(const Message& aMessage)
  {
    for (const caf::actor& receiver : mWatchers) {
      send(receiver, aMessage);
    }
  }

  caf::result<PutSettingsResult> StartPut(const PutSettings& aPut)
  {
    auto promise = make_response_promise<PutSettingsResult>();
    auto change =
      std::make_shared<Change>(Change{ aPut, promise, mWriteIds.Next() });
    auto faults = state::CheckSettings(aPut.mPath, aPut.mValues);
    if (!faults.empty()) {
      mLog.Write({ LogEvent::kSettingsRejected, { { "path", aPut.mPath } } });
      promise.deliver(PutSettingsResult{
        PutSettingsStatus::kRejected, {}, std::move(faults) });
      return promise;
    }
    ReadForPut(change);
    return promise;
  }

  void ReadForPut(const ChangePtr& aChange)
  {
    Read(kHeadKey, [this, aChange](const StoreResult& aHead) {
      if (aHead.Status() != StoreStatus::kOk) {
        FailPut(aChange);
        return;
      }
      Read(kDocumentPrefix + aChange->mPut.mPath,
           [this, aChange, aHead](const StoreResult& aDocument) {
             if (aDocument.Status() != StoreStatus::kOk) {
               FailPut(aChange);
               return;
             }
             WritePut(aChange, aHead, aDocument);
           });
    });
  }

  void WritePut(const ChangePtr& aChange,
                const StoreResult& aHead,
                const StoreResult& aDocument)
  {
    const PutSettings& put = aChange->mPut;
    std::optional<SettingsDocument> current;
    std::uint64_t rowVersion = 0;
    if (!aDocument.Rows().empty()) {
      current = DecodeDocument(aDocument.Rows().front());
      rowVersion = aDocument.Rows().front().Version();
      if (!current) {
        FailPut(aChange);
        return;
      }
    }
    if (current && current->HasWrite(aChange->mWriteId)) {
      // An earlier attempt took effect although its response was lost.
      AcceptPut(aChange, *current);
      return;
    }
    if ((current ? current->Version() : 0) != put.mExpectedVersion) {
      ReplyConflict(aChange, current);
      return;
    }
    const SettingsDocument next = NextDocument(*aChange, current);
    state::SettingsHead head;
    std::uint64_t headVersion = 0;
    if (!aHead.Rows().empty()) {
      const auto decoded = DecodeHead(aHead.Rows().front());
      if (!decoded) {
        // Overwriting a malformed head would lose the entries of other paths.
        FailPut(aChange);
        return;
      }
      head = *decoded;
      headVersion = aHead.Rows().front().Version();
    }
    head[put.mPath] = next.Version();
    RequestStore(
      state::Transaction(aChange->mWriteId,
                         { { kHeadKey, headVersion, mCodec.EncodeHead(head) },
                           { kDocumentPrefix + put.mPath,
                             rowVersion,
                             mCodec.EncodeDocument(next) } }),
      [this, aChange, next](const StoreResult& aResult) {
        FinishWrite(aChange, next, aResult);
      });
  }

  static SettingsDocument NextDocument(
    const Change& aChange,
    const std::optional<SettingsDocument>& aCurrent)
  {
    const PutSettings& put = aChange.mPut;
    if (aCurrent) {
      return aCurrent->WithValues(put.mValues, aChange.mWriteId, put.mAuthor);
    }
    return {
      put.mPath, 1, put.mValues, { { 1, aChange.mWriteId, put.mAuthor } }
    };
  }

  void FinishWrite(const ChangePtr& aChange,
                   const SettingsDocument& aNext,
                   const StoreResult& aResult)
  {
    if (aResult.Status() == StoreStatus::kOk) {
      AcceptPut(aChange, aNext);
      return;
    }
    const bool isUnknown = aResult.Status() == StoreStatus::kOutcomeUnknown;
    // The store task retries for its whole retry window each time, so two
    // unknown outcomes are enough.
    const bool secondUnknown = isUnknown && aChange->mMayTakeEffect;
    aChange->mMayTakeEffect = aChange->mMayTakeEffect || isUnknown;
    if (secondUnknown || aResult.Status() == StoreStatus::kUnavailable ||
        ++aChange->mRetries > kMaxHeadRetries) {
      FailPut(aChange);
      return;
    }
    // Reading again distinguishes a conflict on the document from one on the
    // head, and resolves an unknown outcome. A delayed write and its retry
    // cannot both take effect, since both expect the same document version.
    ReadForPut(aChange);
  }

  void AcceptPut(const ChangePtr& aChange, const SettingsDocument& aDocument)
  {
    mLog.Write({ LogEvent::kSettingsChanged,
                 { { "path", aDocument.Path() },
                   { "version", std::to_string(aDocument.Version()) },
                   { "author", aChange->mPut.mAuthor } } });
    ApplyDocument(aDocument);
    NotifyWatchers(SettingsAccepted{ aDocument });
    aChange->mPromise.deliver(
      PutSettingsResult{ PutSettingsStatus::kAccepted, { aDocument }, {} });
  }

  void ReplyConflict(const ChangePtr& aChange,
                     const std::optional<SettingsDocument>& aCurrent)
  {
    mLog.Write({ LogEvent::kSettingsConflict,
                 { { "path", aChange->mPut.mPath },
                   { "author", aChange->mPut.mAuthor } } });
    std::vector<SettingsDocument> documents;
    if (aCurrent) {
      documents.push_back(*aCurrent);
      ApplyDocument(*aCurrent);
    }
    aChange->mPromise.deliver(PutSettingsResult{
      PutSettingsStatus::kConflict, std::move(documents), {} });
  }

  void FailPut(const ChangePtr& aChange)
  {
    const auto status = aChange->mMayTakeEffect
                          ? PutSettingsStatus::kUnknown
                          : PutSettingsStatus::kUnavailable;
    aChange->mPromise.deliver(PutSettingsResult{ status, {}, {} });
  }

  caf::actor mStore;
  const RowCodec& mCodec;
  EventLog& mLog;
  WriteIdGenerator mWriteIds;
  SettingsTaskOptions mOptions;
  state::SettingsSnapshot mSnapshot;
  std::vector<caf::actor> mSubscribers;
  std::vector<caf::actor> mWatchers;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnSettingsTask(caf::actor_system& aSystem,
                  const caf::actor& aStore,
                  const RowCodec& aCodec,
                  EventLog& aLog,
                  WriteIdGenerator aWriteIds,
                  SettingsTaskOptions aOptions)
{
  return aSystem.spawn<SettingsTask>(
    aStore, std::cref(aCodec), std::ref(aLog), std::move(aWriteIds), aOptions);
}

} // namespace cornelrudder::coordination
