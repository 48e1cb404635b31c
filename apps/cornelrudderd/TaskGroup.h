#ifndef CORNELRUDDERD_TASK_GROUP_H
#define CORNELRUDDERD_TASK_GROUP_H

#include "cornelrudder/coordination/EventLog.h"

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <string>
#include <vector>

namespace cornelrudder::daemon {

/** Configures the scheduler that runs the tasks of a daemon. */
class TaskSystemConfig : public caf::actor_system_config
{
public:
  TaskSystemConfig();
};

/**
 * Stops its tasks on destruction, also when the construction of the daemon
 * fails after they started. A task that fails terminates the process:
 * otherwise the daemon would keep its listener open without responding.
 */
class TaskGroup
{
public:
  /** @param aLog Must outlive the group. */
  TaskGroup(caf::actor_system& aSystem, coordination::EventLog& aLog);
  ~TaskGroup();
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  /**
   * Adds a task to the group.
   * @param aName Name of the task in the log.
   * @return The same task.
   */
  caf::actor Add(caf::actor aTask, const std::string& aName);

  const std::vector<caf::actor>& All() const { return mTasks; }

  /** Stops all tasks and waits until they have terminated. */
  void Stop();

private:
  caf::actor_system& mSystem;
  coordination::EventLog& mLog;
  std::vector<caf::actor> mTasks;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_TASK_GROUP_H
