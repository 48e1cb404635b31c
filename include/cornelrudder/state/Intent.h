#ifndef CORNELRUDDER_STATE_INTENT_H
#define CORNELRUDDER_STATE_INTENT_H

#include "cornelrudder/state/RunRequest.h"
#include "cornelrudder/state/StoreRow.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelrudder::state {

enum class IntentState
{
  /**
   * A daemon claimed the row and may have dispatched the request, which may
   * have run, may still run, or may never run. Only the daemon incarnation that
   * claimed the row changes it; if that incarnation terminates or cannot
   * determine whether the request ran, the row stays in this state.
   */
  kDispatched,
  /** The request ran and a response arrived. */
  kDone,
  /** The attempt did not run and never will; a repeat may claim the row. */
  kNotRun
};

/** @return The name of a state, as written to rows and logs. */
std::string_view
IntentStateName(IntentState aState);

/**
 * Value of the row `intent/{organisation}/{key}`, which a daemon writes before
 * it dispatches a non-idempotent request. Daemons never delete these rows.
 */
class Intent
{
public:
  /**
   * Longest response that is stored for repeats of the request, in bytes; it
   * limits the size of the row. A longer response is sent to the caller but
   * cannot be replayed.
   */
  static constexpr std::size_t kMaxAnswerBytes = 262'144;

  /**
   * @param aDigest Digest of the request, see RequestDigest().
   * @param aOwner Incarnation of the daemon that claimed the row.
   * @param aAttempt Identifier of the claim, never used twice.
   * @param aAnswer The stored response; only in state kDone, and absent if the
   *   response was too long to store.
   * @throws StateError if a response is given in another state or is too long.
   */
  Intent(std::string aDigest,
         std::string aOwner,
         std::string aAttempt,
         IntentState aState,
         std::optional<std::string> aAnswer);

  const std::string& Digest() const { return mDigest; }
  const std::string& Owner() const { return mOwner; }
  const std::string& Attempt() const { return mAttempt; }
  IntentState State() const { return mState; }
  const std::optional<std::string>& Answer() const { return mAnswer; }

  /** @return The intent in state kNotRun. */
  Intent AsNotRun() const;

  /**
   * @return The intent after an outcome, or nothing if it is unknown whether
   *   the request ran.
   */
  std::optional<Intent> WithOutcome(const RunOutcome& aOutcome) const;

  auto operator<=>(const Intent&) const = default;

private:
  std::string mDigest;
  std::string mOwner;
  std::string mAttempt;
  IntentState mState;
  std::optional<std::string> mAnswer;
};

/** @return XXH128 of team, class and body, as 32 hexadecimal digits. */
std::string
RequestDigest(const RunRequest& aRequest);

/** @return The key of the intent row of a request. */
std::string
IntentRowKey(const RunRequest& aRequest);

/** What a daemon does next after reading or claiming an intent row. */
class IntentAction
{
public:
  enum class Kind
  {
    /** This attempt owns the row: dispatch the request. */
    kDispatch,
    /** Claim the row again at its current version. */
    kClaim,
    /** Reply to the caller without dispatching the request. */
    kAnswer,
    /** Reply to the caller and write state kNotRun over the claim. */
    kAnswerAndRevoke
  };

  static IntentAction Dispatch() { return { Kind::kDispatch, 0, {} }; }
  static IntentAction Claim(std::uint64_t aVersion)
  {
    return { Kind::kClaim, aVersion, {} };
  }
  static IntentAction Answer(RunOutcome aOutcome)
  {
    return { Kind::kAnswer, 0, std::move(aOutcome) };
  }
  static IntentAction AnswerAndRevoke(RunOutcome aOutcome)
  {
    return { Kind::kAnswerAndRevoke, 0, std::move(aOutcome) };
  }

  Kind Type() const { return mKind; }

  /** Version at which to claim the row, for kClaim. */
  std::uint64_t Version() const { return mVersion; }

  /** Outcome to report to the caller, for kAnswer and kAnswerAndRevoke. */
  const std::optional<RunOutcome>& Outcome() const { return mOutcome; }

  auto operator<=>(const IntentAction&) const = default;

private:
  IntentAction(Kind aKind,
               std::uint64_t aVersion,
               std::optional<RunOutcome> aOutcome)
    : mKind(aKind)
    , mVersion(aVersion)
    , mOutcome(std::move(aOutcome))
  {
  }

  Kind mKind;
  std::uint64_t mVersion;
  std::optional<RunOutcome> mOutcome;
};

/** An intent with the version of its row. */
struct VersionedIntent
{
  Intent mIntent;
  std::uint64_t mVersion;

  auto operator<=>(const VersionedIntent&) const = default;
};

/**
 * Decides how to handle a request whose key already has an intent row.
 * @param aFound The row of the key.
 * @param aDigest Digest of the repeated request.
 */
IntentAction
DecideAfterRepeat(const VersionedIntent& aFound, const std::string& aDigest);

/**
 * Decides what to do after a claim, i.e. a write of a row in state kDispatched.
 * @param aClaim The claimed row value.
 * @param aVersion Row version that the claim expected.
 * @param aStatus Result of the write; only kOk proves that this attempt owns
 *   the row.
 * @param aFound The row as read after the claim was sent; nothing if unknown.
 *   After an unknown outcome, a later version with another attempt proves that
 *   the claim had no effect and never will: only the incarnation that claimed a
 *   row changes it while it is in state kDispatched, and this incarnation has
 *   not changed it.
 */
IntentAction
DecideAfterClaim(const Intent& aClaim,
                 std::uint64_t aVersion,
                 StoreStatus aStatus,
                 const std::optional<VersionedIntent>& aFound);

/**
 * Decides what to do after a conflict of the final write of an attempt, which
 * records its outcome or revokes it.
 * @return Whether the row still belongs to the attempt in state kDispatched, so
 *   that the final write must be retried at the current version. Otherwise the
 *   attempt is over, and a delayed claim of it can no longer take effect.
 */
bool
MustRetryFinalWrite(const Intent& aFound, const std::string& aAttempt);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_INTENT_H
