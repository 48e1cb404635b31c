#include "cornelrudder/coordination/Clock.h"

#include <ctime>

namespace cornelrudder::coordination {

std::chrono::milliseconds
BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace cornelrudder::coordination
