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
Scheduler::UseCatalog(const Catalog& aCatalog)
{
  mImpl->UseCatalog(aCatalog);
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
Scheduler::SeeWorker(const WorkerInfo& aWorker, Millis aNow)
{
  mImpl->SeeWorker(aWorker, aNow);
}

void
Scheduler::DropWorker(const std::string& aWorker, Millis aNow)
{
  mImpl->DropWorker(aWorker, aNow);
}

void
Scheduler::TakeStartAnswer(const StartOrder& aOrder,
                           const OrderAnswer& aAnswer,
                           Millis aNow)
{
  mImpl->TakeStartAnswer(aOrder, aAnswer, aNow);
}

void
Scheduler::TakeStopAnswer(const StopOrder& aOrder,
                          const OrderAnswer& aAnswer,
                          Millis aNow)
{
  mImpl->TakeStopAnswer(aOrder, aAnswer, aNow);
}

void
Scheduler::TakeReport(const RenewOrder& aOrder,
                      const WorkerReport& aReport,
                      Millis aSentAt,
                      Millis aNow)
{
  mImpl->TakeReport(aOrder, aReport, aSentAt, aNow);
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
Scheduler::BeginWrite(std::size_t aMaxJobs)
{
  return mImpl->BeginWrite(aMaxJobs);
}

void
Scheduler::FinishWrite(bool aStored)
{
  mImpl->FinishWrite(aStored);
}

std::vector<std::string>
Scheduler::ExpiredJobs(Millis aNow, std::size_t aMax) const
{
  return mImpl->ExpiredJobs(aNow, aMax);
}

void
Scheduler::ForgetExpired(std::size_t aCount)
{
  mImpl->ForgetExpired(aCount);
}

Orders
Scheduler::TakeOrders(Millis aNow)
{
  return mImpl->TakeOrders(aNow);
}

std::vector<SchedulerNote>
Scheduler::TakeNotes()
{
  return mImpl->TakeNotes();
}

bool
Scheduler::IsFenced() const
{
  return mImpl->IsFenced();
}

std::map<std::string, std::uint64_t>
Scheduler::Pending() const
{
  return mImpl->Pending();
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
