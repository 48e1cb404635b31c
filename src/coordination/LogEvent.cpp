#include "cornelrudder/coordination/LogEvent.h"

#include "cornelrudder/coordination/CoordinationError.h"

#include <algorithm>
#include <array>

namespace cornelrudder::coordination {

namespace {

constexpr std::array kEvents{
  LogEventInfo{ LogEvent::kStarted,
                LogLevel::kInfo,
                "started",
                "the daemon has started and accepts connections" },
  LogEventInfo{ LogEvent::kStopping,
                LogLevel::kInfo,
                "stopping",
                "a graceful shutdown has started; open requests may complete "
                "within the grace period" },
  LogEventInfo{ LogEvent::kStopped,
                LogLevel::kInfo,
                "stopped",
                "the graceful shutdown is complete; the process exits" },
  LogEventInfo{ LogEvent::kCutOff,
                LogLevel::kError,
                "cut_off",
                "the grace period expired before all requests were complete; "
                "the remaining ones were aborted" },
  LogEventInfo{ LogEvent::kBadSettingsFile,
                LogLevel::kError,
                "bad_settings_file",
                "the settings file cannot be read or is invalid; the current "
                "settings stay in use" },
  LogEventInfo{
    LogEvent::kTaskFailed,
    LogLevel::kError,
    "task_failed",
    "an internal task terminated with an error; the process exits" },
  LogEventInfo{ LogEvent::kReloaded,
                LogLevel::kInfo,
                "reloaded",
                "the settings file was checked after a signal; changes apply "
                "at the next start" },
  LogEventInfo{ LogEvent::kHttpOverloaded,
                LogLevel::kWarning,
                "http_overloaded",
                "the connections of clients have reached a limit of memory or "
                "number; those that hold the most are closed" },
  LogEventInfo{ LogEvent::kHttpOverloadEnded,
                LogLevel::kInfo,
                "http_overload_ended",
                "no connection was closed to make room for 5 s or longer; the "
                "fields count those closed and the requests rejected since "
                "the begin" },
  LogEventInfo{ LogEvent::kRouted,
                LogLevel::kInfo,
                "routed",
                "a request was dispatched to a runner" },
  LogEventInfo{ LogEvent::kRouteRefused,
                LogLevel::kWarning,
                "route_refused",
                "a request failed or was rejected; the caller got the reason" },
  LogEventInfo{ LogEvent::kRunnerResult,
                LogLevel::kInfo,
                "runner_result",
                "an attempt on a runner completed or failed" },
  LogEventInfo{ LogEvent::kRequestQueued,
                LogLevel::kInfo,
                "request_queued",
                "a request was queued until a runner slot is free" },
  LogEventInfo{ LogEvent::kRetryDecided,
                LogLevel::kInfo,
                "retry_decided",
                "an attempt failed; the fields say whether it is retried" },
  LogEventInfo{ LogEvent::kRunnerLeaving,
                LogLevel::kInfo,
                "runner_leaving",
                "a runner announced its shutdown and gets no new requests" },
  LogEventInfo{
    LogEvent::kRunnerQuarantined,
    LogLevel::kWarning,
    "runner_quarantined",
    "a runner failed most of its requests; it gets only probe requests" },
  LogEventInfo{
    LogEvent::kRunnerRecovered,
    LogLevel::kInfo,
    "runner_recovered",
    "a quarantined runner succeeded repeatedly and gets requests again" },
  LogEventInfo{
    LogEvent::kAdmissionChanged,
    LogLevel::kInfo,
    "admission_changed",
    "the admission policy changed; waiting requests were queued again" },
  LogEventInfo{ LogEvent::kIntentRefused,
                LogLevel::kWarning,
                "intent_refused",
                "a non-idempotent request was rejected without a dispatch; ran "
                "says whether one with its key may have run" },
  LogEventInfo{
    LogEvent::kIntentReplayed,
    LogLevel::kInfo,
    "intent_replayed",
    "a repeated request got the recorded response of the first one" },
  LogEventInfo{ LogEvent::kIntentRevoked,
                LogLevel::kWarning,
                "intent_revoked",
                "the outcome of a claim is unknown; the claim is revoked and "
                "the request was not dispatched" },
  LogEventInfo{
    LogEvent::kIntentUnknown,
    LogLevel::kWarning,
    "intent_unknown",
    "it is unknown whether a dispatched request ran; it is not repeated" },
  LogEventInfo{
    LogEvent::kIntentNotRecorded,
    LogLevel::kWarning,
    "intent_not_recorded",
    "an outcome was not recorded; the write is retried unless too many wait" },
  LogEventInfo{ LogEvent::kSettingsApplied,
                LogLevel::kInfo,
                "settings_applied",
                "the daemon applied a new version of a settings document" },
  LogEventInfo{ LogEvent::kSettingsChanged,
                LogLevel::kInfo,
                "settings_changed",
                "a settings change by an operator was stored" },
  LogEventInfo{
    LogEvent::kSettingsConflict,
    LogLevel::kWarning,
    "settings_conflict",
    "a settings change was rejected: it is based on an outdated version" },
  LogEventInfo{ LogEvent::kSettingsRejected,
                LogLevel::kWarning,
                "settings_rejected",
                "a settings change was rejected: it contains invalid values" },
  LogEventInfo{ LogEvent::kFleetChanged,
                LogLevel::kInfo,
                "fleet_changed",
                "the list of VMs changed" },
  LogEventInfo{
    LogEvent::kFleetUnavailable,
    LogLevel::kWarning,
    "fleet_unavailable",
    "the list of VMs could not be read; the previous list stays in use" },
  LogEventInfo{ LogEvent::kPeerAlive,
                LogLevel::kInfo,
                "peer_alive",
                "a peer daemon is alive and gets a share of the work" },
  LogEventInfo{
    LogEvent::kPeerSuspected,
    LogLevel::kWarning,
    "peer_suspected",
    "a peer daemon does not respond; other daemons get its share of the work" },
  LogEventInfo{ LogEvent::kPeerLeaving,
                LogLevel::kInfo,
                "peer_leaving",
                "a peer daemon is shutting down gracefully" },
  LogEventInfo{ LogEvent::kPeerGone,
                LogLevel::kWarning,
                "peer_gone",
                "a peer daemon was silent for too long or left the list of "
                "VMs; it is removed" },
  LogEventInfo{ LogEvent::kPeerRejected,
                LogLevel::kWarning,
                "peer_rejected",
                "an invalid frame or message from a peer daemon was dropped" },
  LogEventInfo{ LogEvent::kDuplicateDaemon,
                LogLevel::kError,
                "duplicate_daemon",
                "another daemon uses the identifier of this daemon" },
  LogEventInfo{ LogEvent::kSettingsFromPeer,
                LogLevel::kInfo,
                "settings_from_peer",
                "newer settings were received from a peer daemon" },
  LogEventInfo{
    LogEvent::kReady,
    LogLevel::kInfo,
    "ready",
    "the settings are loaded and the daemon is ready to serve requests" },
  LogEventInfo{
    LogEvent::kForwarded,
    LogLevel::kInfo,
    "forwarded",
    "a job command was forwarded to the owner of the placement domain" },
  LogEventInfo{
    LogEvent::kForwardEnded,
    LogLevel::kInfo,
    "forward_ended",
    "a forwarded job command is complete and the caller got the reply" },
  LogEventInfo{ LogEvent::kForwardTimedOut,
                LogLevel::kWarning,
                "forward_timed_out",
                "the owner did not reply to a forwarded job command in time" },
  LogEventInfo{ LogEvent::kStoreUnavailable,
                LogLevel::kWarning,
                "store_unavailable",
                "a request to the store failed and is not retried again" },
  LogEventInfo{ LogEvent::kStoreBreakerOpened,
                LogLevel::kWarning,
                "store_breaker_opened",
                "the store failed repeatedly; the circuit breaker is open and "
                "only probes are sent" },
  LogEventInfo{ LogEvent::kStoreBreakerClosed,
                LogLevel::kInfo,
                "store_breaker_closed",
                "the store responds again; the circuit breaker is closed" },
  LogEventInfo{ LogEvent::kStoreWriteUnknown,
                LogLevel::kWarning,
                "store_write_unknown",
                "it is unknown whether a write has taken or will take effect" },
  LogEventInfo{ LogEvent::kRowMalformed,
                LogLevel::kError,
                "row_malformed",
                "a row of the store, or an entry of the VM list, could not be "
                "decoded; it is ignored and not overwritten" },
  LogEventInfo{
    LogEvent::kLeaseTaken,
    LogLevel::kInfo,
    "lease_taken",
    "this daemon became the owner of a placement domain or of scheduling" },
  LogEventInfo{
    LogEvent::kLeaseLost,
    LogLevel::kWarning,
    "lease_lost",
    "this daemon lost the ownership of a placement domain or of scheduling" },
  LogEventInfo{ LogEvent::kLeaseReleased,
                LogLevel::kInfo,
                "lease_released",
                "this daemon released its ownership for a planned stop, or "
                "because it does not reach most workers (reason)" },
  LogEventInfo{
    LogEvent::kDomainOwnerChanged,
    LogLevel::kInfo,
    "domain_owner_changed",
    "the recorded owner of a placement domain or of scheduling changed" },
  LogEventInfo{ LogEvent::kJobAccepted,
                LogLevel::kInfo,
                "job_accepted",
                "a job was stored and accepted" },
  LogEventInfo{ LogEvent::kJobRefused,
                LogLevel::kWarning,
                "job_refused",
                "a job submission was rejected; no job was stored" },
  LogEventInfo{ LogEvent::kGangPlaced,
                LogLevel::kInfo,
                "gang_placed",
                "workers were chosen for a job" },
  LogEventInfo{ LogEvent::kGangWaiting,
                LogLevel::kInfo,
                "gang_waiting",
                "a job cannot be placed yet; logged when the reason changes" },
  LogEventInfo{ LogEvent::kGangReclaim,
                LogLevel::kWarning,
                "gang_reclaim",
                "preemptible jobs are stopped to free the guaranteed shape of "
                "an organisation" },
  LogEventInfo{ LogEvent::kGangPhase,
                LogLevel::kInfo,
                "gang_phase",
                "a job entered another phase" },
  LogEventInfo{
    LogEvent::kGangRequeued,
    LogLevel::kWarning,
    "gang_requeued",
    "an attempt of a job ended without success; the job is queued again" },
  LogEventInfo{
    LogEvent::kJobEnded,
    LogLevel::kInfo,
    "job_ended",
    "a job completed, failed or was cancelled; its final state is recorded" },
  LogEventInfo{
    LogEvent::kWorkerQuarantined,
    LogLevel::kWarning,
    "worker_quarantined",
    "a worker fails tasks that succeed on other workers; it gets no new work" },
  LogEventInfo{ LogEvent::kWorkerReleased,
                LogLevel::kInfo,
                "worker_released",
                "a worker was released from quarantine and gets work again" },
  LogEventInfo{ LogEvent::kJobsRecovered,
                LogLevel::kInfo,
                "jobs_recovered",
                "a new owner has loaded its jobs from the store" },
  LogEventInfo{ LogEvent::kPlacementLapsed,
                LogLevel::kWarning,
                "placement_lapsed",
                "the domain's lease expired; placement stops and only the "
                "leases of gang members are renewed" },
  LogEventInfo{ LogEvent::kBadJobRow,
                LogLevel::kError,
                "bad_job_row",
                "the row of a job could not be decoded; the job is ignored and "
                "its row is kept" },
  LogEventInfo{ LogEvent::kOwnerFenced,
                LogLevel::kWarning,
                "owner_fenced",
                "a worker or a row has the epoch of another owner; this daemon "
                "stops managing the affected jobs" },
  LogEventInfo{ LogEvent::kTaskPlaced,
                LogLevel::kInfo,
                "task_placed",
                "workers were chosen for a task or a gang" },
  LogEventInfo{
    LogEvent::kTaskWaits,
    LogLevel::kInfo,
    "task_waits",
    "a task or a gang cannot be placed yet; logged when the reason changes" },
  LogEventInfo{ LogEvent::kTaskPreempted,
                LogLevel::kWarning,
                "task_preempted",
                "a task is stopped to free capacity for more urgent work" },
  LogEventInfo{ LogEvent::kRunEnded,
                LogLevel::kInfo,
                "run_ended",
                "a worker reported that a run terminated" },
  LogEventInfo{ LogEvent::kRunLost,
                LogLevel::kWarning,
                "run_lost",
                "a run no longer exists, for example after a worker restart; "
                "its task is queued again" },
  LogEventInfo{
    LogEvent::kWorkerSilent,
    LogLevel::kWarning,
    "worker_silent",
    "a worker does not respond; its runs are kept until their leases expire" },
  LogEventInfo{ LogEvent::kWorkerBack,
                LogLevel::kInfo,
                "worker_back",
                "a silent worker responds again" },
  LogEventInfo{ LogEvent::kWorkerGone,
                LogLevel::kWarning,
                "worker_gone",
                "a worker with runs left, restarted or was silent until its "
                "leases expired" },
  LogEventInfo{
    LogEvent::kWorkerSuspected,
    LogLevel::kWarning,
    "worker_suspected",
    "a worker failed several runs in a row; it is avoided for some time" },
  LogEventInfo{ LogEvent::kRunMoved,
                LogLevel::kWarning,
                "run_moved",
                "a run is stalled, slow or would be lost with its worker; its "
                "task moves to another worker" },
  LogEventInfo{
    LogEvent::kCallAnswered,
    LogLevel::kInfo,
    "call_answered",
    "a call about a job was completed; the fields show its status" },
  LogEventInfo{ LogEvent::kCatalogApplied,
                LogLevel::kInfo,
                "catalog_applied",
                "the daemon applied a new version of the operator's settings" },
  LogEventInfo{ LogEvent::kCatalogStale,
                LogLevel::kWarning,
                "catalog_stale",
                "the store did not confirm the operator's settings in time; "
                "calls about jobs are rejected" },
  LogEventInfo{ LogEvent::kCatalogConfirmed,
                LogLevel::kInfo,
                "catalog_confirmed",
                "the store confirmed the operator's settings again" },
  LogEventInfo{ LogEvent::kStoreLost,
                LogLevel::kWarning,
                "store_lost",
                "the store does not respond to this daemon" },
  LogEventInfo{ LogEvent::kStoreBack,
                LogLevel::kInfo,
                "store_back",
                "the store responds to this daemon again" },
  LogEventInfo{ LogEvent::kWorkerLeaving,
                LogLevel::kInfo,
                "worker_leaving",
                "a worker announced its shutdown and gets no new tasks" },
  LogEventInfo{
    LogEvent::kJobStalled,
    LogLevel::kWarning,
    "job_stalled",
    "an active job has a ready task or a run on a silent worker, and no run on "
    "a worker that replies; the longest such wait is logged once a second with "
    "the state of the workers" },
  LogEventInfo{ LogEvent::kEndIgnored,
                LogLevel::kInfo,
                "end_ignored",
                "a worker reported the termination of a run that is not the "
                "current one of its task" },
  LogEventInfo{ LogEvent::kReplyIgnored,
                LogLevel::kWarning,
                "reply_ignored",
                "a renewal reply has an earlier incarnation than the worker is "
                "known to have; logged once until a reply is accepted" },
  LogEventInfo{ LogEvent::kStoreRefusals,
                LogLevel::kWarning,
                "store_refusals",
                "the store refused calls of one kind with one status; logged "
                "at most once a second with the numbers since the last line" },
  LogEventInfo{ LogEvent::kWorkerCapacityChanged,
                LogLevel::kInfo,
                "worker_capacity_changed",
                "a worker announced another capacity; before, after and in use "
                "as thousandths of a core, megabytes and accelerators" },
  LogEventInfo{ LogEvent::kRunCrashed,
                LogLevel::kWarning,
                "run_crashed",
                "a worker crashed while a run was, or may have been, in "
                "progress on it" },
  LogEventInfo{ LogEvent::kJobSetAside,
                LogLevel::kError,
                "job_set_aside",
                "the store rejects the record of a job, which gets no runs "
                "until a later write succeeds" },
  LogEventInfo{ LogEvent::kWriteRejected,
                LogLevel::kError,
                "write_rejected",
                "a write that the store does not accept was not sent, or was "
                "rejected; with the largest row, its size and the limits" },
  LogEventInfo{ LogEvent::kOwnerSuspended,
                LogLevel::kWarning,
                "owner_suspended",
                "the owner did not run for some time; it sends no commands "
                "until the store confirms its lease" },
  LogEventInfo{ LogEvent::kTakeover,
                LogLevel::kWarning,
                "takeover",
                "a new owner has loaded what an earlier one left: why the "
                "lease was acquired, the runs, and when leases of workers end "
                "as told by a release or as presumed" },
  LogEventInfo{ LogEvent::kOwnerStopped,
                LogLevel::kWarning,
                "owner_stopped",
                "an owner stopped to command workers, with the time since its "
                "last stored write was sent and since it last extended the "
                "lease of each worker in use" },
  LogEventInfo{ LogEvent::kCommandsPaused,
                LogLevel::kWarning,
                "commands_paused",
                "the owner sends no commands until the store confirms its "
                "lease" },
  LogEventInfo{ LogEvent::kCommandsResumed,
                LogLevel::kInfo,
                "commands_resumed",
                "the owner sends commands again" },
  LogEventInfo{ LogEvent::kCheckpointNotStored,
                LogLevel::kWarning,
                "checkpoint_not_stored",
                "the record of a task leaves its checkpoint out, since both "
                "do not fit into a row; another owner starts the task from "
                "scratch unless a worker reports the checkpoint" },
  LogEventInfo{ LogEvent::kCheckpointsLimited,
                LogLevel::kWarning,
                "checkpoints_limited",
                "the checkpoints of all tasks have reached their limit in "
                "memory; further ones are not kept, and their tasks resume "
                "from the earlier ones" },
  LogEventInfo{ LogEvent::kLogLinesDropped,
                LogLevel::kWarning,
                "log_lines_dropped",
                "standard output was not read for some time, and the oldest "
                "lines that waited were dropped" },
  LogEventInfo{ LogEvent::kZoneEvacuated,
                LogLevel::kInfo,
                "zone_evacuated",
                "an operator requested the evacuation of an availability "
                "zone; this daemon starts nothing there" },
  LogEventInfo{ LogEvent::kZoneReturned,
                LogLevel::kInfo,
                "zone_returned",
                "the evacuation of an availability zone was withdrawn" },
  LogEventInfo{ LogEvent::kEvacuationInForce,
                LogLevel::kInfo,
                "evacuation_in_force",
                "the owner applied the evacuation of an availability zone; "
                "the fields count the workers there, the runs that continue "
                "and the planned runs that were withdrawn" },
};

} // namespace

std::span<const LogEventInfo>
AllLogEvents()
{
  return kEvents;
}

const LogEventInfo&
InfoOf(LogEvent aEvent)
{
  const auto* it =
    std::find_if(kEvents.begin(), kEvents.end(), [aEvent](const auto& aInfo) {
      return aInfo.mEvent == aEvent;
    });
  if (it == kEvents.end()) {
    throw CoordinationError("log event is missing from the event catalogue");
  }
  return *it;
}

} // namespace cornelrudder::coordination
