#ifndef CORNELRUDDER_COORDINATION_LOG_EVENT_H
#define CORNELRUDDER_COORDINATION_LOG_EVENT_H

#include <span>
#include <string_view>

namespace cornelrudder::coordination {

enum class LogLevel
{
  kInfo,
  kWarning,
  kError
};

/** Log events; the number of an event never changes and is never reused. */
enum class LogEvent
{
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kCutOff = 103,
  kBadSettingsFile = 104,
  kTaskFailed = 105,
  kReloaded = 106,
  kHttpOverloaded = 107,
  kHttpOverloadEnded = 108,
  kRouted = 200,
  kRouteRefused = 201,
  kRunnerResult = 202,
  kRequestQueued = 203,
  kRetryDecided = 204,
  kRunnerLeaving = 205,
  kRunnerQuarantined = 206,
  kRunnerRecovered = 207,
  kAdmissionChanged = 208,
  kIntentRefused = 210,
  kIntentReplayed = 211,
  kIntentRevoked = 212,
  kIntentUnknown = 213,
  kIntentNotRecorded = 214,
  kSettingsApplied = 300,
  kSettingsChanged = 301,
  kSettingsConflict = 302,
  kSettingsRejected = 303,
  kFleetChanged = 400,
  kFleetUnavailable = 401,
  kPeerAlive = 410,
  kPeerSuspected = 411,
  kPeerLeaving = 412,
  kPeerGone = 413,
  kPeerRejected = 414,
  kDuplicateDaemon = 415,
  kSettingsFromPeer = 416,
  kReady = 417,
  kForwarded = 418,
  kForwardEnded = 419,
  kForwardTimedOut = 420,
  kStoreUnavailable = 500,
  kStoreBreakerOpened = 501,
  kStoreBreakerClosed = 502,
  kStoreWriteUnknown = 503,
  kRowMalformed = 504,
  kLeaseTaken = 510,
  kLeaseLost = 511,
  kLeaseReleased = 512,
  kDomainOwnerChanged = 513,
  kJobAccepted = 700,
  kJobRefused = 701,
  kGangPlaced = 702,
  kGangWaiting = 703,
  kGangReclaim = 704,
  kGangPhase = 705,
  kGangRequeued = 706,
  kJobEnded = 707,
  kWorkerQuarantined = 708,
  kWorkerReleased = 709,
  kJobsRecovered = 710,
  kPlacementLapsed = 711,
  kBadJobRow = 712,
  kOwnerFenced = 713,
  kTaskPlaced = 800,
  kTaskWaits = 801,
  kTaskPreempted = 802,
  kRunEnded = 803,
  kRunLost = 804,
  kWorkerSilent = 805,
  kWorkerBack = 806,
  kWorkerGone = 807,
  kWorkerSuspected = 808,
  kRunMoved = 809,
  kCallAnswered = 810,
  kCatalogApplied = 811,
  kCatalogStale = 812,
  kCatalogConfirmed = 813,
  kStoreLost = 814,
  kStoreBack = 815,
  kWorkerLeaving = 816,
  kJobStalled = 817,
  kEndIgnored = 818,
  kReplyIgnored = 819,
  kStoreRefusals = 820,
  kWorkerCapacityChanged = 821,
  kRunCrashed = 822,
  kJobSetAside = 823,
  kWriteRejected = 824,
  kOwnerSuspended = 825,
  kTakeover = 826,
  kOwnerStopped = 827,
  kCommandsPaused = 828,
  kCommandsResumed = 829,
  kCheckpointNotStored = 830,
  kCheckpointsLimited = 831,
  kLogLinesDropped = 832,
  kZoneEvacuated = 833,
  kZoneReturned = 834,
  kEvacuationInForce = 835
};

/** Entry of the event catalogue. */
struct LogEventInfo
{
  LogEvent mEvent;
  LogLevel mLevel;
  std::string_view mName;
  std::string_view mDescription;
};

/** @return The event catalogue, sorted by number. */
std::span<const LogEventInfo>
AllLogEvents();

/**
 * @return The catalogue entry of an event.
 * @throws CoordinationError if the event has no entry.
 */
const LogEventInfo&
InfoOf(LogEvent aEvent);

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_LOG_EVENT_H
