#ifndef CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H
#define CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H

#include "cornelrudder/state/scheduling/Resources.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** Description of a worker, as published by the worker. */
struct WorkerInfo
{
  /**
   * Usually identifies one incarnation of a worker, but a restart may keep the
   * identifier.
   */
  std::string mId;
  /** Identifies the start of the incarnation; increases with each restart. */
  std::uint64_t mIncarnation = 0;
  /** "a.b.c.d:port". */
  std::string mAddress;
  std::string mService;
  std::string mZone;
  std::string mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  /** The worker is about to shut down and accepts no new work. */
  bool mDraining = false;
  /** Minimum time until a draining worker shuts down; 0 if not announced. */
  std::chrono::milliseconds mShutdownAfter{ 0 };
  /** Monotonic clock of the worker at the time of publication. */
  std::chrono::milliseconds mClock{ 0 };

  auto operator<=>(const WorkerInfo&) const = default;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H
