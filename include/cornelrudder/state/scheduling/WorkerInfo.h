#ifndef CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H
#define CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H

#include "cornelrudder/state/scheduling/Resources.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelrudder::state::scheduling {

/** What a worker says of itself. */
struct WorkerInfo
{
  /** Names one life of a worker, except that a restart may keep it. */
  std::string mId;
  /** Start of this life; grows with each restart. */
  std::uint64_t mIncarnation = 0;
  /** "a.b.c.d:port". */
  std::string mAddress;
  std::string mService;
  std::string mZone;
  std::string mRack;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  /** The worker is about to leave and takes no new work. */
  bool mDraining = false;
  /** Shortest time until a leaving worker is gone; 0 if it was not told. */
  std::chrono::milliseconds mShutdownAfter{ 0 };
  /** The worker's own steady clock when it said this. */
  std::chrono::milliseconds mClock{ 0 };

  auto operator<=>(const WorkerInfo&) const = default;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_WORKER_INFO_H
