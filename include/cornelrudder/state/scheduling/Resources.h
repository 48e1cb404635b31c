#ifndef CORNELRUDDER_STATE_SCHEDULING_RESOURCES_H
#define CORNELRUDDER_STATE_SCHEDULING_RESOURCES_H

#include <compare>
#include <cstdint>

namespace cornelrudder::state::scheduling {

/**
 * Processor, memory and accelerators: the demand of a task or the capacity of a
 * worker.
 */
class Resources
{
public:
  Resources() = default;

  /**
   * @param aCpuMillis Thousandths of a core.
   * @param aMemoryMb Memory in megabytes.
   */
  Resources(std::int64_t aCpuMillis,
            std::int64_t aMemoryMb,
            std::int64_t aAccelerators)
    : mCpuMillis(aCpuMillis)
    , mMemoryMb(aMemoryMb)
    , mAccelerators(aAccelerators)
  {
  }

  std::int64_t CpuMillis() const { return mCpuMillis; }
  std::int64_t MemoryMb() const { return mMemoryMb; }
  std::int64_t Accelerators() const { return mAccelerators; }

  /** @return Whether other resources cover these ones in every dimension. */
  bool FitsIn(const Resources& aAvailable) const
  {
    return mCpuMillis <= aAvailable.mCpuMillis &&
           mMemoryMb <= aAvailable.mMemoryMb &&
           mAccelerators <= aAvailable.mAccelerators;
  }

  Resources Plus(const Resources& aOther) const
  {
    return { mCpuMillis + aOther.mCpuMillis,
             mMemoryMb + aOther.mMemoryMb,
             mAccelerators + aOther.mAccelerators };
  }

  Resources Minus(const Resources& aOther) const
  {
    return { mCpuMillis - aOther.mCpuMillis,
             mMemoryMb - aOther.mMemoryMb,
             mAccelerators - aOther.mAccelerators };
  }

  /**
   * @return Cores, with each accelerator counted as kCoresPerAccelerator cores.
   */
  double WeightedCores() const
  {
    return static_cast<double>(mCpuMillis) / kMillisPerCore +
           static_cast<double>(mAccelerators) * kCoresPerAccelerator;
  }

  auto operator<=>(const Resources&) const = default;

private:
  static constexpr double kMillisPerCore = 1000.0;
  /** The platform charges the price of eight cores for an accelerator. */
  static constexpr double kCoresPerAccelerator = 8.0;

  std::int64_t mCpuMillis = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_RESOURCES_H
