#ifndef CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_FAULTS_H
#define CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_FAULTS_H

#include "TakeoverContext.h"
#include "TakeoverDaemon.h"
#include "TakeoverStore.h"
#include "TakeoverWorker.h"

#include <deque>
#include <vector>

namespace cornelrudder::tests {

/** Begins and ends the faults of a plan. */
class TakeoverFaults
{
public:
  TakeoverFaults(TakeoverContext& aContext,
                 ModelStore& aStore,
                 std::deque<TakeoverWorker>& aWorkers,
                 std::deque<TakeoverDaemon>& aDaemons);

  /** Schedules all faults of the plan. */
  void Schedule();

private:
  void Begin(const TakeoverFault& aFault);
  void BeginStoreOutage(milliseconds aFor);
  void BeginDaemonFault(const TakeoverFault& aFault, TakeoverDaemon& aDaemon);
  void BeginLinkFault(const TakeoverFault& aFault, TakeoverDaemon& aDaemon);
  void BeginWorkerFault(const TakeoverFault& aFault, TakeoverWorker& aWorker);
  /** Raises a count of faults in force for a time. */
  void Count(int& aCount, milliseconds aFor);
  std::vector<std::size_t> DaemonsOf(const TakeoverFault& aFault) const;

  TakeoverContext& mContext;
  ModelStore& mStore;
  std::deque<TakeoverWorker>& mWorkers;
  std::deque<TakeoverDaemon>& mDaemons;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_STATE_SCHEDULING_TAKEOVER_FAULTS_H
