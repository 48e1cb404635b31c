#ifndef CORNELRUDDER_STATE_SCHEDULING_SETTINGS_CONFIRMATION_H
#define CORNELRUDDER_STATE_SCHEDULING_SETTINGS_CONFIRMATION_H

#include <chrono>
#include <optional>

namespace cornelrudder::state::scheduling {

/**
 * Up to when the store has confirmed that the operator's settings of a daemon
 * are the newest ones, on the daemon's clock.
 */
class SettingsConfirmation
{
public:
  using Millis = std::chrono::milliseconds;

  /** Allowance for the transmission of a start command. */
  static constexpr Millis kStartReserve{ 500 };

  /** Settings that were never read. */
  SettingsConfirmation() = default;
  explicit SettingsConfirmation(Millis aAt)
    : mAt(aAt)
  {
  }

  /**
   * @param aBound Time within which a stored evacuation is in force; 0 for
   *   none.
   * @return Time up to which runs may be started without knowing a newer
   *   evacuation too late. With a bound, settings that were never read allow no
   *   starts.
   */
  Millis StartsUntil(Millis aBound) const
  {
    if (aBound.count() == 0) {
      return Millis::max();
    }
    return mAt ? *mAt + aBound - kStartReserve : Millis::min();
  }

  auto operator<=>(const SettingsConfirmation&) const = default;

private:
  std::optional<Millis> mAt;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_SETTINGS_CONFIRMATION_H
