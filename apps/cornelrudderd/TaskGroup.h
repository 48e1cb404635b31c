#ifndef CORNELRUDDERD_TASK_GROUP_H
#define CORNELRUDDERD_TASK_GROUP_H

#include "cornelrudder/coordination/EventLog.h"

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <string>
#include <vector>

namespace cornelrudder::daemon {

/** Schedules the tasks of a daemon. */
class TaskSystemConfig : public caf::actor_system_config
{
public:
  TaskSystemConfig();
};

/**
 * Ends its tasks, also if the daemon cannot be set up after they started. A
 * task that ends by an exception ends the process: a daemon without one of
 * its tasks would keep its listener and answer nothing.
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
   * Takes a task over.
   * @param aName Name of the task in the log.
   * @return The task.
   */
  caf::actor Add(caf::actor aTask, const std::string& aName);

  const std::vector<caf::actor>& All() const { return mTasks; }

  /** Waits until all tasks have ended. */
  void Stop();

private:
  caf::actor_system& mSystem;
  coordination::EventLog& mLog;
  std::vector<caf::actor> mTasks;
};

} // namespace cornelrudder::daemon

#endif // CORNELRUDDERD_TASK_GROUP_H
