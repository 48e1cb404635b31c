#include "cornelrudder/state/scheduling/Scheduler.h"

#include "SchedulerImpl.h"

namespace cornelrudder::state::scheduling {

Scheduler::Scheduler(SchedulerOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler&
Scheduler::operator=(Scheduler&&) noexcept = default;

void
Scheduler::ApplyCatalog(const Catalog& aCatalog)
{
  mImpl->ApplyCatalog(aCatalog);
}

void
Scheduler::ApplyEvacuations(const Evacuations& aEvacuations, Millis aNow)
{
  mImpl->ApplyEvacuations(aEvacuations, aNow);
}

void
Scheduler::AddJob(const TaskJob& aJob,
                  Millis aAge,
                  const JobProgress* aProgress,
                  Millis aNow)
{
  mImpl->AddJob(aJob, aAge, aProgress, aNow);
}

void
Scheduler::CancelJob(const std::string& aJob, Millis aNow)
{
  mImpl->CancelJob(aJob, aNow);
}

void
Scheduler::UpdateWorker(const WorkerInfo& aWorker, Millis aNow)
{
  mImpl->UpdateWorker(aWorker, aNow);
}

void
Scheduler::RemoveWorker(const std::string& aWorker, Millis aNow)
{
  mImpl->RemoveWorker(aWorker, aNow);
}

void
Scheduler::HandleUnusableEntry(const std::string& aWorker)
{
  mImpl->HandleUnusableEntry(aWorker);
}

void
Scheduler::ApplyStartReply(const StartCommand& aCommand,
                           const CommandReply& aReply,
                           Millis aNow)
{
  mImpl->ApplyStartReply(aCommand, aReply, aNow);
}

void
Scheduler::ApplyStopReply(const StopCommand& aCommand,
                          const CommandReply& aReply,
                          Millis aNow)
{
  mImpl->ApplyStopReply(aCommand, aReply, aNow);
}

void
Scheduler::ApplyRenewReply(const RenewCommand& aCommand,
                           const RenewReply& aReply,
                           Millis aSentAt,
                           Millis aNow)
{
  mImpl->ApplyRenewReply(aCommand, aReply, aSentAt, aNow);
}

void
Scheduler::Plan(Millis aNow, Millis aWallClock)
{
  mImpl->Plan(aNow, aWallClock);
}

bool
Scheduler::HasChanges() const
{
  return mImpl->HasChanges();
}

std::vector<JobProgress>
Scheduler::BeginWrite(const WriteLimits& aLimits, const RecordSizer& aSizeOf)
{
  return mImpl->BeginWrite(aLimits, aSizeOf);
}

void
Scheduler::FinishWrite(bool aStored)
{
  mImpl->FinishWrite(aStored);
}

void
Scheduler::HandleRejectedRecord(Millis aNow)
{
  mImpl->HandleRejectedRecord(aNow);
}

std::vector<UnrecordedEnd>
Scheduler::UnrecordedEnds() const
{
  return mImpl->UnrecordedEnds();
}

void
Scheduler::RestoreUnrecordedEnds(const std::vector<UnrecordedEnd>& aEnds,
                                 Millis aNow)
{
  mImpl->RestoreUnrecordedEnds(aEnds, aNow);
}

std::vector<std::string>
Scheduler::ExpiredJobs(Millis aNow, std::size_t aMax) const
{
  return mImpl->ExpiredJobs(aNow, aMax);
}

void
Scheduler::RemoveExpiredJobs(std::size_t aCount)
{
  mImpl->RemoveExpiredJobs(aCount);
}

std::map<std::string, Millis>
Scheduler::WithholdLeases(Millis aNow)
{
  return mImpl->WithholdLeases(aNow);
}

WorkerCommands
Scheduler::CollectCommands(Millis aNow, Millis aStartsUntil)
{
  return mImpl->CollectCommands(aNow, aStartsUntil);
}

std::vector<SchedulerEvent>
Scheduler::TakeEvents()
{
  return mImpl->TakeEvents();
}

bool
Scheduler::IsFenced() const
{
  return mImpl->IsFenced();
}

OwnerReachability
Scheduler::Reachability(Millis aNow) const
{
  return mImpl->Reachability(aNow);
}

TakeoverSummary
Scheduler::Inherited(Millis aNow) const
{
  return mImpl->Inherited(aNow);
}

std::vector<LeaseExtension>
Scheduler::LeaseExtensions() const
{
  return mImpl->LeaseExtensions();
}

std::map<std::string, std::uint64_t>
Scheduler::PendingJobs() const
{
  return mImpl->PendingJobs();
}

std::uint64_t
Scheduler::BytesOfJobs() const
{
  return mImpl->BytesOfJobs();
}

JobMemory
Scheduler::MemoryOfJobs() const
{
  return mImpl->MemoryOfJobs();
}

bool
Scheduler::IsIdle() const
{
  return mImpl->IsIdle();
}

std::map<std::string, std::uint64_t>
Scheduler::Gauges() const
{
  return mImpl->Gauges();
}

} // namespace cornelrudder::state::scheduling
