#include "PlacementTaskImpl.h"

#include "cornelrudder/state/ZoneSettings.h"

#include <algorithm>

namespace cornelrudder::coordination {

namespace {

constexpr std::string_view kDefaultStrategy = "best_fit";

/** Interval of queue runs when no change has triggered one. */
constexpr milliseconds kQueueRunInterval{ 5'000 };

/** Pause after a queue run, as a multiple of the run's duration. */
constexpr int kQueuePauseFactor = 4;

} // namespace

state::VmList
PlacementTask::RegionWorkers() const
{
  std::vector<state::Vm> workers;
  for (const state::Vm& vm : mVms.All()) {
    if (vm.Role() == state::VmRole::kWorker &&
        vm.Location().Region() == mOptions.mRegion) {
      workers.push_back(vm);
    }
  }
  return state::VmList(std::move(workers));
}

bool
PlacementTask::IsEvacuated(const state::Vm& aWorker) const
{
  return mEvacuations.Contains(aWorker.Location().Zone().Text());
}

state::VmList
PlacementTask::SchedulableWorkers() const
{
  std::vector<state::Vm> workers;
  const state::VmList fleet = RegionWorkers();
  for (const state::Vm& vm : fleet.All()) {
    const bool leaving = vm.State() == state::VmState::kLeaving ||
                         mLeavingWorkers.contains(vm.Name());
    if (!leaving && !mHealth.IsQuarantined(vm.Name()) && !IsEvacuated(vm)) {
      workers.push_back(vm);
    }
  }
  return state::VmList(std::move(workers));
}

std::vector<state::GuaranteedShape>
PlacementTask::Guarantees() const
{
  return GuaranteedShapesOf(mSettings, mOptions.mRegion);
}

const state::PlacementStrategy&
PlacementTask::Strategy() const
{
  if (mOptions.mStrategy != nullptr) {
    return *mOptions.mStrategy;
  }
  const auto* document = mSettings.Find("policy");
  const std::string name = document != nullptr
                             ? document->TextOr("placement", kDefaultStrategy)
                             : std::string(kDefaultStrategy);
  const auto* strategy = state::FindPlacementStrategy(name);
  return strategy != nullptr ? *strategy
                             : *state::AllPlacementStrategies().front();
}

bool
PlacementTask::IsPreemptible(const JobSpec& aSpec) const
{
  const auto jobClass = FindJobClass(mSettings, aSpec.Class());
  return jobClass && jobClass->Preemptible();
}

std::vector<state::PlacedGang>
PlacementTask::PlacedGangs() const
{
  std::vector<state::PlacedGang> gangs;
  for (const auto& [id, entry] : mJobs) {
    if (entry.mGang.HeldPlacement().Members().empty()) {
      continue;
    }
    const JobSpec& spec = entry.mGang.RecordedJob().Spec();
    const std::chrono::duration<double, std::ratio<3'600>> hours =
      Now() - entry.mPlacedAt;
    gangs.emplace_back(id,
                       spec.Organisation(),
                       IsPreemptible(spec),
                       hours.count() * spec.GangShape().Accelerators(),
                       entry.mGang.HeldPlacement());
  }
  return gangs;
}

state::HeldAccelerators
PlacementTask::AcceleratorsInUse() const
{
  state::HeldAccelerators inUse;
  for (const auto& [id, entry] : mJobs) {
    if (entry.mGang.HeldPlacement().Members().empty()) {
      continue;
    }
    const JobSpec& spec = entry.mGang.RecordedJob().Spec();
    const int n = spec.GangShape().Accelerators();
    inUse.mByOrganisation[spec.Organisation()] += n;
    inUse.mByTeam[{ spec.Organisation(), spec.Team() }] += n;
  }
  return inUse;
}

std::map<state::OrganisationId, int>
PlacementTask::OrganisationWeights() const
{
  std::map<state::OrganisationId, int> weights;
  for (const auto& [id, entry] : mJobs) {
    const auto& organisation = entry.mGang.RecordedJob().Spec().Organisation();
    const auto* document =
      mSettings.Find("organisations/" + organisation.Text());
    if (document != nullptr) {
      weights.insert_or_assign(
        organisation, static_cast<int>(document->IntegerOr("weight", 1)));
    }
  }
  return weights;
}

bool
PlacementTask::ReclaimPending(const JobId& aJob) const
{
  const auto it = mReclaims.find(aJob);
  return it != mReclaims.end() &&
         std::any_of(
           it->second.mVictims.begin(),
           it->second.mVictims.end(),
           [this](const JobId& aVictim) {
             const auto victim = mJobs.find(aVictim);
             return victim != mJobs.end() &&
                    !victim->second.mGang.HeldPlacement().Members().empty();
           });
}

std::vector<state::WaitingJob>
PlacementTask::WaitingJobs(milliseconds aNow) const
{
  std::vector<state::WaitingJob> waiting;
  for (const auto& [id, entry] : mJobs) {
    if (entry.mGang.Phase() != GangPhase::kQueued ||
        aNow < entry.mRetryNotBefore || ReclaimPending(id)) {
      continue;
    }
    const JobSpec& spec = entry.mGang.RecordedJob().Spec();
    const auto jobClass = FindJobClass(mSettings, spec.Class());
    const auto limits =
      TeamLimitsOf(mSettings, spec.Organisation(), spec.Team());
    waiting.emplace_back(spec,
                         jobClass ? jobClass->Urgency() : 0,
                         jobClass && jobClass->Preemptible(),
                         limits.mAccelerators,
                         entry.mAvoidedWorkers,
                         mReclaims.contains(id));
  }
  return waiting;
}

void
PlacementTask::RunQueue()
{
  const milliseconds now = Now();
  mQueueRunDue = false;
  mNextQueueRunAt = now + kQueueRunInterval;
  auto waiting = WaitingJobs(now);
  if (waiting.empty()) {
    return;
  }
  state::FleetSnapshot snapshot(
    SchedulableWorkers(), PlacedGangs(), Guarantees());
  // Reserves accelerators that are being reclaimed for the job they are
  // reclaimed for.
  std::vector<state::PlacedGang> gangs = snapshot.Gangs();
  for (const auto& [id, reclaim] : mReclaims) {
    if (ReclaimPending(id) && mJobs.contains(id)) {
      const JobSpec& spec = mJobs.at(id).mGang.RecordedJob().Spec();
      gangs.emplace_back(id,
                         spec.Organisation(),
                         IsPreemptible(spec),
                         0.0,
                         FreeAcceleratorsOf(snapshot, reclaim.mPlacement));
    }
  }
  snapshot = state::FleetSnapshot(
    snapshot.Workers(), std::move(gangs), snapshot.Guarantees());
  const auto decisions = DecideQueue(snapshot,
                                     std::move(waiting),
                                     AcceleratorsInUse(),
                                     OrganisationWeights(),
                                     Strategy());
  for (const state::QueueDecision& decision : decisions) {
    ApplyDecision(decision, now);
  }
  ProbeQuarantinedWorkers(now);
  // A long queue is run less often, so that a burst of jobs does not delay
  // other messages. The next tick runs the queue if it is still due.
  mQueueRunNotBefore = Now() + kQueuePauseFactor * (Now() - now);
}

void
PlacementTask::ApplyDecision(const state::QueueDecision& aDecision,
                             milliseconds aNow)
{
  const state::PlacementDecision& decision = aDecision.mDecision;
  switch (decision.Kind()) {
    case state::PlacementKind::kPlaced:
      mReclaims.erase(aDecision.mJob);
      Place(aDecision.mJob, decision.Placement(), decision.Reason(), aNow);
      return;
    case state::PlacementKind::kReclaim:
      RecordWaitReason(aDecision, "accelerators are being reclaimed: ");
      StartReclaim(aDecision.mJob, decision, aNow);
      return;
    case state::PlacementKind::kWait:
    case state::PlacementKind::kNeverFits:
      RecordWaitReason(aDecision, "");
      return;
  }
}

void
PlacementTask::Place(const JobId& aJob,
                     const state::GangPlacement& aPlacement,
                     const std::string& aReason,
                     milliseconds aNow)
{
  std::string workers;
  for (const auto& member : aPlacement.Members()) {
    workers += (workers.empty() ? "" : ",") + member.Worker().Text();
  }
  mPorts.mLog.Write({ LogEvent::kGangPlaced,
                      { { "job", aJob.Text() },
                        { "workers", workers },
                        { "strategy", std::string(Strategy().Name()) },
                        { "reason", aReason } } });
  ++mCounters["gangs_placed_total"];
  mJobs.at(aJob).mPlacedAt = aNow;
  mJobs.at(aJob).mExplanation.clear();
  mJobs.at(aJob).mWaitReason.clear();
  HandleGangEvent(aJob, GangEvent::Place(aPlacement, aNow));
}

void
PlacementTask::RecordWaitReason(const state::QueueDecision& aDecision,
                                const std::string& aPrefix)
{
  Entry& entry = mJobs.at(aDecision.mJob);
  const std::string reason =
    aPrefix + aDecision.mDecision.Reason() + ExcludedWorkersText();
  // The queue position is not logged, since it changes with every submission
  // and completion.
  if (reason != entry.mWaitReason) {
    mPorts.mLog.Write(
      { LogEvent::kGangWaiting,
        { { "job", aDecision.mJob.Text() }, { "reason", reason } } });
  }
  entry.mWaitReason = reason;
  entry.mExplanation =
    "place " + std::to_string(aDecision.mPosition) + " in the queue; " + reason;
}

void
PlacementTask::StartReclaim(const JobId& aJob,
                            const state::PlacementDecision& aDecision,
                            milliseconds aNow)
{
  std::string victims;
  for (const JobId& victim : aDecision.Victims()) {
    victims += (victims.empty() ? "" : ",") + victim.Text();
  }
  mPorts.mLog.Write({ LogEvent::kGangReclaim,
                      { { "job", aJob.Text() },
                        { "victims", victims },
                        { "reason", aDecision.Reason() } } });
  ++mCounters["gangs_reclaimed_total"];
  mReclaims.insert_or_assign(
    aJob, ReclaimPlan{ aDecision.Placement(), aDecision.Victims() });
  for (const JobId& victim : aDecision.Victims()) {
    HandleGangEvent(victim, GangEvent::ForGang(GangEventKind::kPreempt, aNow));
  }
}

void
PlacementTask::ProbeQuarantinedWorkers(milliseconds aNow)
{
  const state::VmList fleet = RegionWorkers();
  for (const state::Vm& worker : fleet.All()) {
    if (!mHealth.MayProbe(worker.Name(), aNow) ||
        worker.State() == state::VmState::kLeaving ||
        mLeavingWorkers.contains(worker.Name()) || IsEvacuated(worker)) {
      continue;
    }
    for (const state::WaitingJob& job : WaitingJobs(aNow)) {
      const auto jobClass = FindJobClass(mSettings, job.Spec().Class());
      if (job.Spec().GangShape().Workers() != 1 || !jobClass ||
          !jobClass->Idempotent() || job.TeamAcceleratorLimit()) {
        continue;
      }
      const state::FleetSnapshot snapshot(
        state::VmList({ worker }), PlacedGangs(), Guarantees());
      const auto decision = Strategy().Place(snapshot,
                                             { job.Spec().Organisation(),
                                               job.Spec().GangShape(),
                                               job.Preemptible() });
      if (decision.Kind() == state::PlacementKind::kPlaced) {
        mHealth = mHealth.WithProbe(worker.Name(), aNow);
        Place(job.Spec().Name(),
              decision.Placement(),
              "probe of a quarantined worker",
              aNow);
        break;
      }
    }
  }
}

void
PlacementTask::ApplyVms(const state::VmList& aVms)
{
  mVms = aVms;
  mQueueRunDue = true;
  for (const state::Vm& vm : mVms.All()) {
    if (vm.Role() == state::VmRole::kWorker) {
      // The platform's list may be stale, so the address of a VM that is no
      // longer listed is kept for gangs that still run there.
      mWorkerAddresses.insert_or_assign(vm.Name(), vm.Address());
    }
  }
}

void
PlacementTask::ApplySettings(const state::SettingsSnapshot& aSettings)
{
  mSettings = aSettings;
  mEvacuations = EvacuationsOf(aSettings);
  mQueueRunDue = true;
  WithdrawEvacuatedGangs();
  Recover();
}

void
PlacementTask::WithdrawEvacuatedGangs()
{
  std::set<VmId> evacuated;
  for (const state::Vm& vm : mVms.All()) {
    if (IsEvacuated(vm)) {
      evacuated.insert(vm.Name());
    }
  }
  std::vector<JobId> withdrawn;
  for (const auto& [id, entry] : mJobs) {
    const GangPhase phase = entry.mGang.Phase();
    const bool isUnstarted = phase == GangPhase::kRecordingPlacement ||
                             phase == GangPhase::kReserving ||
                             phase == GangPhase::kCommitting ||
                             phase == GangPhase::kRecordingCommit;
    const state::GangPlacement placement = entry.mGang.HeldPlacement();
    const auto& members = placement.Members();
    if (isUnstarted &&
        std::any_of(
          members.begin(), members.end(), [&evacuated](const auto& aMember) {
            return evacuated.contains(aMember.Worker());
          })) {
      withdrawn.push_back(id);
    }
  }
  for (const JobId& id : withdrawn) {
    HandleGangEvent(id, GangEvent::ForGang(GangEventKind::kPreempt, Now()));
  }
}

std::string
PlacementTask::ExcludedWorkersText() const
{
  if (mEvacuations.Zones().empty()) {
    return "";
  }
  const state::VmList fleet = RegionWorkers();
  std::set<std::string> zones;
  std::size_t count = 0;
  for (const state::Vm& vm : fleet.All()) {
    if (IsEvacuated(vm)) {
      zones.insert(vm.Location().Zone().Text());
      ++count;
    }
  }
  if (zones.empty()) {
    return "";
  }
  std::string text =
    "; not counted: " + std::to_string(count) + " workers of evacuated zones";
  for (const std::string& zone : zones) {
    text += " " + zone;
  }
  return text;
}

Counters
PlacementTask::CurrentCounters() const
{
  Counters counters = mCounters;
  for (const auto& [id, entry] : mJobs) {
    ++counters["jobs_active"];
    if (entry.mGang.Phase() == GangPhase::kQueued) {
      ++counters["jobs_queued"];
    }
  }
  return counters;
}

} // namespace cornelrudder::coordination
