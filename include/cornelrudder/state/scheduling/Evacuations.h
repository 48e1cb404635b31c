#ifndef CORNELRUDDER_STATE_SCHEDULING_EVACUATIONS_H
#define CORNELRUDDER_STATE_SCHEDULING_EVACUATIONS_H

#include <set>
#include <string>
#include <utility>

namespace cornelrudder::state::scheduling {

/**
 * Availability zones whose workers get no new runs, as requested by operators.
 * Runs that are at work there continue.
 */
class Evacuations
{
public:
  Evacuations() = default;
  explicit Evacuations(std::set<std::string> aZones)
    : mZones(std::move(aZones))
  {
  }

  const std::set<std::string>& Zones() const { return mZones; }
  bool Contains(const std::string& aZone) const
  {
    return mZones.contains(aZone);
  }

  /** @return These zones and another one. */
  Evacuations With(const std::string& aZone) const
  {
    std::set<std::string> zones = mZones;
    zones.insert(aZone);
    return Evacuations(std::move(zones));
  }

  /** @return These zones except one. */
  Evacuations Without(const std::string& aZone) const
  {
    std::set<std::string> zones = mZones;
    zones.erase(aZone);
    return Evacuations(std::move(zones));
  }

  auto operator<=>(const Evacuations&) const = default;

private:
  std::set<std::string> mZones;
};

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_STATE_SCHEDULING_EVACUATIONS_H
