#include "cornelrudder/coordination/CatalogTask.h"

#include "cornelrudder/coordination/CommonMessages.h"
#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/coordination/SchedulingMessages.h"
#include "cornelrudder/coordination/SchedulingTables.h"

#include <caf/actor_system.hpp>
#include <caf/event_based_actor.hpp>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelrudder::coordination {

namespace {

using state::StoreResult;
using state::StoreRow;
using state::StoreStatus;
using state::scheduling::Catalog;
using state::scheduling::Evacuations;
using std::chrono::milliseconds;

/** Changed rows from which a reply may leave further changes out. */
constexpr std::size_t kFullPageRows = 500;

/** @return The zone whose evacuation a row requests, or nothing. */
std::optional<std::string>
EvacuatedZone(const std::string& aKey)
{
  constexpr std::string_view kPrefix = kEvacuationPrefix;
  return aKey.size() > kPrefix.size() && aKey.starts_with(kPrefix)
           ? std::optional(aKey.substr(kPrefix.size()))
           : std::nullopt;
}

class CatalogTask : public caf::event_based_actor
{
public:
  CatalogTask(caf::actor_config& aConfig,
              ChangeFeedPort& aFeed,
              const PlatformRowCodec& aCodec,
              const Clock& aClock,
              EventLog& aLog,
              CatalogTaskOptions aOptions)
    : caf::event_based_actor(aConfig)
    , mFeed(aFeed)
    , mCodec(aCodec)
    , mClock(aClock)
    , mLog(aLog)
    , mOptions(aOptions)
  {
  }

  caf::behavior make_behavior() override
  {
    send(this, Tick{});
    return {
      [this](const Tick&) { Poll(); },
      [this](const StoreCallCompleted& aCompleted) {
        if (aCompleted.mOperationId == mOperationId) {
          HandleStoreResult(aCompleted.mResult);
        }
      },
      [this](const RefreshCatalog&) {
        // Each write conflict asks for a refresh. Restarting the read for each
        // would never let one complete.
        if (mIsReadingTable) {
          mIsReloadDue = true;
        } else {
          Reload();
        }
      },
      [this](const Subscribe& aSubscribe) {
        mSubscribers.push_back(aSubscribe.mReceiver);
        send(aSubscribe.mReceiver, View());
      },
      [this](const GetCounters&) { return mCounters; },
    };
  }

private:
  /** Reads the table if no version is known, else polls for changes. */
  void Poll()
  {
    mIsPollingChanges = mVersion != 0;
    if (!mIsPollingChanges) {
      mPages = {};
      mIsReadingTable = true;
      mIsReloadDue = false;
      ReadPage("");
      return;
    }
    mSentAt = mClock.Now();
    mFeed.PollChanges(
      kOperatorTable, mVersion, mOptions.mFeedPollTimeout, ExpectResult());
  }

  void ReadPage(const std::string& aFrom)
  {
    if (aFrom.empty()) {
      mSentAt = mClock.Now();
    }
    mFeed.ReadRange(kOperatorTable, aFrom, "", ExpectResult());
  }

  /** @return A completion that sends the result of the latest call. */
  ChangeFeedPort::Completion ExpectResult()
  {
    return [self = caf::actor_cast<caf::actor>(this),
            operationId = ++mOperationId](StoreResult aResult) {
      caf::anon_send(self,
                     StoreCallCompleted{ operationId, std::move(aResult) });
    };
  }

  void Reload()
  {
    mVersion = 0;
    Poll();
  }

  void HandleStoreResult(const StoreResult& aResult)
  {
    const bool isHistoryLost = aResult.Status() == StoreStatus::kConflict;
    if (isHistoryLost) {
      ++mCounters["catalog_history_lost_total"];
      Reload();
      return;
    }
    const bool isPageLost =
      !mIsPollingChanges && aResult.HasMore() && aResult.Rows().empty();
    if (aResult.Status() != StoreStatus::kOk || isPageLost) {
      mIsReadingTable = false;
      ++mCounters["catalog_failures_total"];
      CheckStale();
      SetReachable(false);
      delayed_send(this, mOptions.mRetryDelay, Tick{});
      return;
    }
    if (mIsPollingChanges) {
      ApplyChanges(aResult.Rows());
      mVersion = aResult.Version();
      if (aResult.HasMore() || aResult.Rows().size() >= kFullPageRows) {
        // Later changes are not known yet, so this reply confirms nothing.
        Publish();
        Poll();
        return;
      }
    } else if (!CollectPage(aResult)) {
      return;
    }
    RecordConfirmation(aResult);
    if (mIsReloadDue) {
      Reload();
    } else if (mCatalog || mIsPollingChanges) {
      Poll();
    } else {
      delayed_send(this, mOptions.mRetryDelay, Tick{});
    }
  }

  /**
   * Adds a page of the table and applies the table after its last page.
   * @return Whether the page was the last one; otherwise the next one is read.
   */
  bool CollectPage(const StoreResult& aPage)
  {
    // Changes are polled from the version of the first page, so that changes
    // between pages are not missed.
    mPages.mVersion = mPages.mVersion == 0 ? aPage.Version() : mPages.mVersion;
    mPages.mRows.insert(
      mPages.mRows.end(), aPage.Rows().begin(), aPage.Rows().end());
    if (aPage.HasMore() && !aPage.Rows().empty()) {
      ReadPage(NextPageStart(aPage));
      return false;
    }
    mIsReadingTable = false;
    const TablePages pages = std::exchange(mPages, {});
    Evacuations evacuations;
    for (const StoreRow& row : pages.mRows) {
      if (const auto zone = EvacuatedZone(row.Key())) {
        evacuations = evacuations.With(*zone);
      }
    }
    ApplyEvacuations(std::move(evacuations));
    ApplyCatalogRow(pages.mRows);
    mVersion = pages.mVersion;
    return true;
  }

  void ApplyChanges(const std::vector<StoreRow>& aRows)
  {
    Evacuations evacuations = mEvacuations;
    for (const StoreRow& row : aRows) {
      if (const auto zone = EvacuatedZone(row.Key())) {
        evacuations = row.Version() != 0 ? evacuations.With(*zone)
                                         : evacuations.Without(*zone);
      }
    }
    ApplyEvacuations(std::move(evacuations));
    ApplyCatalogRow(aRows);
  }

  void ApplyCatalogRow(const std::vector<StoreRow>& aRows)
  {
    for (const StoreRow& row : aRows) {
      if (row.Key() == kCatalogKey && row.Version() != 0) {
        Apply(row);
      }
    }
  }

  /** The name of the zone is in the key, so that any value is accepted. */
  void ApplyEvacuations(Evacuations aEvacuations)
  {
    for (const std::string& zone : aEvacuations.Zones()) {
      if (!mEvacuations.Contains(zone)) {
        mLog.Write({ LogEvent::kZoneEvacuated, { { "zone", zone } } });
      }
    }
    for (const std::string& zone : mEvacuations.Zones()) {
      if (!aEvacuations.Contains(zone)) {
        mLog.Write({ LogEvent::kZoneReturned, { { "zone", zone } } });
      }
    }
    mEvacuations = std::move(aEvacuations);
    mCounters["evacuated_zones"] = mEvacuations.Zones().size();
  }

  void Apply(const StoreRow& aRow)
  {
    if (mCatalog && mCatalog->RowVersion() >= aRow.Version()) {
      return;
    }
    try {
      mIsNewestMalformed = true;
      mCatalog = std::make_shared<const Catalog>(
        mCodec.DecodeCatalog(aRow.Value(), aRow.Version()));
      mIsNewestMalformed = false;
      mLog.Write(
        { LogEvent::kCatalogApplied,
          { { "version", std::to_string(mCatalog->OperatorVersion()) },
            { "row_version", std::to_string(aRow.Version()) },
            { "queues", std::to_string(mCatalog->Queues().size()) } } });
    } catch (const CoordinationError& error) {
      ++mCounters["rows_malformed_total"];
      mLog.Write({ LogEvent::kRowMalformed,
                   { { "key", aRow.Key() }, { "error", error.what() } } });
    }
  }

  /**
   * Records the time up to which the settings are confirmed. A poll that waited
   * for its full timeout without changes confirms them until that timeout; any
   * other reply confirms them only until its request was sent.
   */
  void RecordConfirmation(const StoreResult& aResult)
  {
    const milliseconds now = mClock.Now();
    const bool hasWaitedFullTime = mIsPollingChanges &&
                                   aResult.Rows().empty() &&
                                   now - mSentAt >= mOptions.mFeedPollTimeout;
    mConfirmedAt =
      hasWaitedFullTime ? mSentAt + mOptions.mFeedPollTimeout : mSentAt;
    // The store read its clock between the request and the reply; the time of
    // the reply is used for the reading.
    mStoreClock = { aResult.StoreTime(), now };
    if (mIsStale) {
      mIsStale = false;
      mLog.Write({ LogEvent::kCatalogConfirmed, {} });
    }
    mIsReachable = true;
    Publish();
  }

  void SetReachable(bool aIsReachable)
  {
    if (mIsReachable != aIsReachable) {
      mIsReachable = aIsReachable;
      Publish();
    }
  }

  void Publish()
  {
    for (const caf::actor& receiver : mSubscribers) {
      send(receiver, View());
    }
  }

  void CheckStale()
  {
    const milliseconds age = mClock.Now() - mConfirmedAt;
    if (!mIsStale && mCatalog && age > mOptions.mStaleAfter) {
      mIsStale = true;
      mLog.Write({ LogEvent::kCatalogStale,
                   { { "version", std::to_string(mCatalog->OperatorVersion()) },
                     { "age_ms", std::to_string(age.count()) } } });
    }
  }

  CatalogView View() const
  {
    // Without the newest settings, a poll cannot confirm the older ones.
    const std::uint64_t readVersion = mIsNewestMalformed ? 0 : mVersion;
    return { mCatalog,     mConfirmedAt, mStoreClock,
             mIsReachable, readVersion,  mEvacuations };
  }

  /** Pages of the table read so far, and the store version of the first. */
  struct TablePages
  {
    std::vector<StoreRow> mRows;
    std::uint64_t mVersion = 0;
  };

  ChangeFeedPort& mFeed;
  const PlatformRowCodec& mCodec;
  const Clock& mClock;
  EventLog& mLog;
  CatalogTaskOptions mOptions;
  std::vector<caf::actor> mSubscribers;
  std::shared_ptr<const Catalog> mCatalog;
  Evacuations mEvacuations;
  TablePages mPages;
  bool mIsReadingTable = false;
  /** The table is read again once the present read is complete. */
  bool mIsReloadDue = false;
  milliseconds mConfirmedAt{ 0 };
  StoreClockReading mStoreClock;
  /**
   * Store version up to which changes were read; 0 if the table must be read.
   */
  std::uint64_t mVersion = 0;
  /** The latest store call; replies to earlier ones are ignored. */
  std::uint64_t mOperationId = 0;
  bool mIsPollingChanges = false;
  /** Whether the newest row of the settings could not be decoded. */
  bool mIsNewestMalformed = false;
  milliseconds mSentAt{ 0 };
  bool mIsStale = false;
  bool mIsReachable = false;
  Counters mCounters;
};

} // namespace

caf::actor
SpawnCatalogTask(caf::actor_system& aSystem,
                 ChangeFeedPort& aFeed,
                 const PlatformRowCodec& aCodec,
                 const Clock& aClock,
                 EventLog& aLog,
                 CatalogTaskOptions aOptions)
{
  return aSystem.spawn<CatalogTask>(std::ref(aFeed),
                                    std::cref(aCodec),
                                    std::cref(aClock),
                                    std::ref(aLog),
                                    aOptions);
}

} // namespace cornelrudder::coordination
