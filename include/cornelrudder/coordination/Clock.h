#ifndef CORNELRUDDER_COORDINATION_CLOCK_H
#define CORNELRUDDER_COORDINATION_CLOCK_H

#include <chrono>

namespace cornelrudder::coordination {

/** Monotonic time since an arbitrary start. */
class Clock
{
public:
  virtual ~Clock() = default;

  /** @return The time; may be called from any thread. */
  virtual std::chrono::milliseconds Now() const = 0;
};

/** CLOCK_BOOTTIME, which also counts while the VM is suspended. */
class BootClock final : public Clock
{
public:
  std::chrono::milliseconds Now() const override;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CLOCK_H
