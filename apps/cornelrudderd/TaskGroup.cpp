#include "cornelrudderd/TaskGroup.h"

#include <caf/send.hpp>

#include <cstdlib>

namespace cornelrudder::daemon {

namespace {

/** Two threads are enough, because tasks never block. */
constexpr std::size_t kTaskThreads = 2;

bool
IsNormalExit(const caf::error& aReason)
{
  return !aReason || aReason == caf::exit_reason::user_shutdown;
}

} // namespace

TaskSystemConfig::TaskSystemConfig()
{
  // The default policy, work stealing, polls while idle.
  set("scheduler.policy", caf::atom("sharing"));
  set("scheduler.max-threads", kTaskThreads);
}

TaskGroup::TaskGroup(caf::actor_system& aSystem, coordination::EventLog& aLog)
  : mSystem(aSystem)
  , mLog(aLog)
{
}

TaskGroup::~TaskGroup()
{
  Stop();
}

caf::actor
TaskGroup::Add(caf::actor aTask, const std::string& aName)
{
  aTask->attach_functor([&log = mLog, &system = mSystem, aName](
                          const caf::error& aReason) {
    if (!IsNormalExit(aReason)) {
      log.Write({ coordination::LogEvent::kTaskFailed,
                  { { "task", aName }, { "error", system.render(aReason) } } });
      std::_Exit(EXIT_FAILURE);
    }
  });
  mTasks.push_back(aTask);
  return aTask;
}

void
TaskGroup::Stop()
{
  for (const caf::actor& task : mTasks) {
    caf::anon_send_exit(task, caf::exit_reason::user_shutdown);
  }
  mTasks.clear();
  mSystem.await_all_actors_done();
}

} // namespace cornelrudder::daemon
