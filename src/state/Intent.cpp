#include "cornelrudder/state/Intent.h"

#include "cornelrudder/state/StateError.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cornelrudder::state {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1'000 };
constexpr std::chrono::milliseconds kNoRetry{ 0 };

/** Indexed by IntentState. */
constexpr std::array<std::string_view, 3> kStateNames{ "dispatched",
                                                       "done",
                                                       "not_run" };

RunOutcome
InProgress()
{
  return RunOutcome::Failed(
    FailureReason::kInProgress,
    WasRun::kUnknown,
    kRetryAfter,
    "a request with this key was dispatched; its outcome is not recorded");
}

RunOutcome
StoreUnavailable()
{
  return RunOutcome::Failed(
    FailureReason::kStoreUnavailable,
    WasRun::kNo,
    kRetryAfter,
    "the key could not be recorded, so that this attempt was not dispatched");
}

} // namespace

std::string_view
IntentStateName(IntentState aState)
{
  return kStateNames.at(static_cast<std::size_t>(aState));
}

Intent::Intent(std::string aDigest,
               std::string aOwner,
               std::string aAttempt,
               IntentState aState,
               std::optional<std::string> aAnswer)
  : mDigest(std::move(aDigest))
  , mOwner(std::move(aOwner))
  , mAttempt(std::move(aAttempt))
  , mState(aState)
  , mAnswer(std::move(aAnswer))
{
  if (mAnswer && mState != IntentState::kDone) {
    throw StateError("intent in state " + std::string(IntentStateName(mState)) +
                     " has an answer; only state done may have one");
  }
  if (mAnswer && mAnswer->size() > kMaxAnswerBytes) {
    throw StateError(
      "intent with an answer of " + std::to_string(mAnswer->size()) +
      " bytes; the maximum is " + std::to_string(kMaxAnswerBytes));
  }
}

Intent
Intent::AsNotRun() const
{
  return { mDigest, mOwner, mAttempt, IntentState::kNotRun, std::nullopt };
}

std::optional<Intent>
Intent::WithOutcome(const RunOutcome& aOutcome) const
{
  if (aOutcome.IsAnswer()) {
    const bool isKept = aOutcome.Text().size() <= kMaxAnswerBytes;
    return Intent(mDigest,
                  mOwner,
                  mAttempt,
                  IntentState::kDone,
                  isKept ? std::optional(aOutcome.Text()) : std::nullopt);
  }
  if (aOutcome.HasRun() == WasRun::kNo) {
    return AsNotRun();
  }
  return std::nullopt;
}

std::string
RequestDigest(const RunRequest& aRequest)
{
  // Identifiers contain no NUL, so the separator makes the encoding unique.
  std::string text = aRequest.Team().Text();
  text += '\0';
  text += aRequest.Class().Text();
  text += '\0';
  text += aRequest.Body();
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return buf.data();
}

std::string
IntentRowKey(const RunRequest& aRequest)
{
  return "intent/" + aRequest.Organisation().Text() + "/" +
         aRequest.IdempotencyKey();
}

IntentAction
DecideAfterRepeat(const VersionedIntent& aFound, const std::string& aDigest)
{
  const Intent& intent = aFound.mIntent;
  if (intent.Digest() != aDigest) {
    return IntentAction::Answer(RunOutcome::Failed(
      FailureReason::kKeyReused,
      WasRun::kNo,
      kNoRetry,
      "the key was used for a request with another team, class or body"));
  }
  if (intent.State() == IntentState::kNotRun) {
    return IntentAction::Claim(aFound.mVersion);
  }
  if (intent.State() == IntentState::kDispatched) {
    return IntentAction::Answer(InProgress());
  }
  if (!intent.Answer()) {
    return IntentAction::Answer(
      RunOutcome::Failed(FailureReason::kAnswerNotKept,
                         WasRun::kYes,
                         kNoRetry,
                         "the request ran; its answer was too long to keep"));
  }
  return IntentAction::Answer(RunOutcome::Answered(*intent.Answer()));
}

IntentAction
DecideAfterClaim(const Intent& aClaim,
                 std::uint64_t aVersion,
                 StoreStatus aStatus,
                 const std::optional<VersionedIntent>& aFound)
{
  if (aStatus == StoreStatus::kOk) {
    return IntentAction::Dispatch();
  }
  if (aStatus == StoreStatus::kUnavailable) {
    return IntentAction::Answer(StoreUnavailable());
  }
  const bool isClaimedByOther = aFound && aFound->mVersion > aVersion &&
                                aFound->mIntent.Attempt() != aClaim.Attempt();
  if (isClaimedByOther) {
    return DecideAfterRepeat(*aFound, aClaim.Digest());
  }
  // After a conflict without a usable row, it is unknown whether an earlier
  // attempt ran.
  return aStatus == StoreStatus::kOutcomeUnknown
           ? IntentAction::AnswerAndRevoke(StoreUnavailable())
           : IntentAction::Answer(InProgress());
}

bool
MustRetryFinalWrite(const Intent& aFound, const std::string& aAttempt)
{
  return aFound.Attempt() == aAttempt &&
         aFound.State() == IntentState::kDispatched;
}

} // namespace cornelrudder::state
