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
  /** It may run, may have run, or may never run; only its owner knows. */
  kDispatched,
  /** It ran and was answered. */
  kDone,
  /** It did not run and will not; a repeat may claim the row. */
  kNotRun
};

/** @return The name of a state in rows and logs. */
std::string_view
IntentStateName(IntentState aState);

/**
 * Value of the row `intent/{organisation}/{key}`, which is written before a
 * non-idempotent request is dispatched. Rows are never deleted by daemons.
 */
class Intent
{
public:
  /**
   * Longest answer that is kept for a repeat, in bytes. It bounds the row; a
   * longer answer reaches the caller but is not replayed.
   */
  static constexpr std::size_t kMaxAnswerBytes = 262'144;

  /**
   * @param aDigest Digest of the request, see RequestDigest().
   * @param aOwner Life of the daemon that claimed the row.
   * @param aAttempt Identifier of the claim, never used twice.
   * @param aAnswer The answer; only if done, and then only if it was kept.
   * @throws StateError if an answer is given in another state or is too long.
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

  /** @return The intent after its request did certainly not run. */
  Intent AsNotRun() const;

  /**
   * @return The intent after an outcome, or nothing if it stays open whether
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

/** @return A digest of team, class and body: XXH128 as 32 digits. */
std::string
RequestDigest(const RunRequest& aRequest);

/** @return The key of the row of a request. */
std::string
IntentRowKey(const RunRequest& aRequest);

/** What follows from the result of a claim. */
class IntentAction
{
public:
  enum class Kind
  {
    /** The row is this attempt's own: dispatch the request. */
    kDispatch,
    /** Claim the row again at its current version. */
    kClaim,
    /** Tell the caller; nothing is dispatched. */
    kAnswer,
    /** Tell the caller, and make sure that the claim has no effect later. */
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

  /** Version at which to claim. */
  std::uint64_t Version() const { return mVersion; }

  /** What to tell the caller, if that is the step. */
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
 * Decides on a repeat of a request.
 * @param aFound The row of its key.
 * @param aDigest Digest of the repeat.
 */
IntentAction
DecideAfterRepeat(const VersionedIntent& aFound, const std::string& aDigest);

/**
 * Decides after a claim, i.e. a write of a dispatched row.
 * @param aClaim What was to be written.
 * @param aVersion Version at which it was to be written.
 * @param aStatus Result of the write; only kOk proves that the row is this
 *   attempt's own.
 * @param aFound The row as read after the claim was sent; nothing if it is not
 *   known. After an unknown outcome, a later version that carries another
 *   attempt proves that the claim had no effect and will have none: a row in
 *   state dispatched is changed only by the life that claimed it, and this one
 *   has not.
 */
IntentAction
DecideAfterClaim(const Intent& aClaim,
                 std::uint64_t aVersion,
                 StoreStatus aStatus,
                 const std::optional<VersionedIntent>& aFound);

/**
 * Decides after a conflict of a write that ends an attempt (the record of its
 * outcome, or its revocation).
 * @return Whether the row is still that of the attempt and dispatched, so that
 *   the end must be written at its present version. Otherwise the attempt has
 *   ended, and a late claim of it cannot take effect any more.
 */
bool
MustRetryFinalWrite(const Intent& aFound, const std::string& aAttempt);

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_INTENT_H
