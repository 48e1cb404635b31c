#ifndef CORNELRUDDER_COORDINATION_CLOCK_H
#define CORNELRUDDER_COORDINATION_CLOCK_H

#include <chrono>

namespace cornelrudder::coordination {

/** Source of monotonic time; tests replace it. */
class Clock
{
public:
  virtual ~Clock() = default;

  /** @return Time since an arbitrary start; callable from any thread. */
  virtual std::chrono::milliseconds Now() const = 0;
};

/** Reads CLOCK_BOOTTIME, which advances while the VM is suspended. */
class BootClock final : public Clock
{
public:
  std::chrono::milliseconds Now() const override;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_CLOCK_H
