#include "SchedulerTaskImpl.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

using std::chrono::milliseconds;

/** Limit on the workers in one log line. */
constexpr std::size_t kMaxLoggedWorkers = 40;

} // namespace

void
SchedulerTask::LogRelease()
{
  LogRecord::Fields fields{ { "epoch", std::to_string(mLease.mEpoch) },
                            { "reason",
                              mIsolation ? "unreachable_workers" : "stop" } };
  if (mIsolation) {
    fields.emplace_back("unreachable",
                        std::to_string(mIsolation->Unreachable()));
    fields.emplace_back("replying", std::to_string(mIsolation->Replying()));
    fields.emplace_back("handovers", std::to_string(mLease.mHandovers));
  }
  mPorts.mLog.Write({ LogEvent::kLeaseReleased, std::move(fields) });
  LogOwnerStopped("released");
}

/** @return When the last write that is known to be stored was sent. */
milliseconds
SchedulerTask::LastStoredWriteAt() const
{
  return std::max(mTenure.ConfirmedAt(), mAcquireWrite.mSentAt);
}

void
SchedulerTask::LogTakeover()
{
  if (mLease.mEpoch <= 1) {
    return;
  }
  // The result of the acquiring write, and that of a later one, may be lost.
  const bool isKnown = mTakeover.mFormerEpoch + 1 == mLease.mEpoch;
  const auto inherited = mScheduler->Inherited(Now());
  const auto text = [](auto aValue) { return std::to_string(aValue); };
  LogRecord::Fields fields{
    { "epoch", text(mLease.mEpoch) },
    { "former_owner", isKnown ? mTakeover.mFormerOwner : "" },
    { "former_epoch", text(mLease.mEpoch - 1) },
    { "reason", isKnown ? mTakeover.mReason : "own_row" },
    { "row_age_ms", text(isKnown ? mTakeover.mRowAge.count() : 0) },
    { "runs", text(inherited.mRuns) },
    { "workers", text(inherited.mWorkers) },
    { "released_workers", text(inherited.mReleasedWorkers) },
    { "presumed_workers", text(inherited.mPresumedWorkers) }
  };
  if (inherited.mReleasedWorkers > 0) {
    fields.emplace_back("first_release_ends_ms",
                        text(inherited.mShortestRelease.count()));
    fields.emplace_back("last_release_ends_ms",
                        text(inherited.mLongestRelease.count()));
  }
  if (inherited.mPresumedWorkers > 0) {
    fields.emplace_back("presumption_ends_ms",
                        text(inherited.mLongestPresumption.count()));
  }
  mPorts.mLog.Write({ LogEvent::kTakeover, std::move(fields) });
}

void
SchedulerTask::LogOwnerStopped(const char* aReason)
{
  const Millis now = Now();
  LogRecord::Fields fields{
    { "epoch", std::to_string(mLease.mEpoch) },
    { "reason", aReason },
    { "since_stored_ms", std::to_string((now - LastStoredWriteAt()).count()) }
  };
  if (mCommandsPausedAt) {
    fields.emplace_back("paused_ms",
                        std::to_string((now - *mCommandsPausedAt).count()));
  }
  const auto extensions = mScheduler
                            ? mScheduler->LeaseExtensions()
                            : std::vector<state::scheduling::LeaseExtension>();
  fields.emplace_back("workers", std::to_string(extensions.size()));
  if (!extensions.empty() && extensions.front().mAt) {
    fields.emplace_back(
      "extended_ms_ago",
      std::to_string((now - *extensions.front().mAt).count()));
  }
  const std::size_t logged = std::min(extensions.size(), kMaxLoggedWorkers);
  std::string list;
  for (std::size_t i = 0; i < logged; ++i) {
    const auto& [at, worker] = extensions[i];
    list += (list.empty() ? "" : ",") + worker + ":" +
            (at ? std::to_string((now - *at).count()) : "never");
  }
  if (!list.empty()) {
    fields.emplace_back("extended", std::move(list));
  }
  if (logged < extensions.size()) {
    fields.emplace_back("more", std::to_string(extensions.size() - logged));
  }
  mPorts.mLog.Write({ LogEvent::kOwnerStopped, std::move(fields) });
}

/** Logs when this owner starts and ceases to withhold its commands. */
void
SchedulerTask::TrackCommandPause(Millis aNow)
{
  const bool isPaused = !IsLeaseConfirmed();
  if (isPaused == mCommandsPausedAt.has_value()) {
    return;
  }
  LogRecord::Fields fields{
    { "epoch", std::to_string(mLease.mEpoch) },
    { "since_stored_ms", std::to_string((aNow - LastStoredWriteAt()).count()) }
  };
  if (isPaused) {
    mCommandsPausedAt = aNow;
  } else {
    fields.emplace_back("paused_ms",
                        std::to_string((aNow - *mCommandsPausedAt).count()));
    EndCommandPause();
  }
  mPorts.mLog.Write(
    { isPaused ? LogEvent::kCommandsPaused : LogEvent::kCommandsResumed,
      std::move(fields) });
}

/** Counts the time in which this owner may command workers, but not start. */
void
SchedulerTask::TrackStartPause(Millis aNow)
{
  const bool isPaused = aNow >= StartsUntil(aNow);
  if (isPaused && !mStartsPausedAt) {
    mStartsPausedAt = aNow;
  } else if (!isPaused && mStartsPausedAt) {
    mCounters["starts_paused_ms_total"] +=
      static_cast<std::uint64_t>((aNow - *mStartsPausedAt).count());
    mStartsPausedAt.reset();
  }
}

void
SchedulerTask::EndCommandPause()
{
  if (mCommandsPausedAt) {
    mCounters["commands_paused_ms_total"] +=
      static_cast<std::uint64_t>((Now() - *mCommandsPausedAt).count());
    mCommandsPausedAt.reset();
  }
}

} // namespace cornelrudder::coordination
