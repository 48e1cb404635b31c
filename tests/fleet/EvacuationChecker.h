#ifndef CORNELRUDDER_TESTS_FLEET_EVACUATION_CHECKER_H
#define CORNELRUDDER_TESTS_FLEET_EVACUATION_CHECKER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cornelrudder::tests {

/** Finds orders to start a run in a zone that has been evacuated for long. */
class EvacuationChecker
{
public:
  using Clock = std::chrono::steady_clock;

  /** Time after which an evacuation has to be in force. */
  static constexpr std::chrono::milliseconds kBound{ 5'000 };

  /**
   * Records a request to evacuate a zone. A request for a zone that is
   * evacuated already extends the evacuation.
   * @return Number of the request, for End().
   */
  std::uint64_t Begin(const std::string& aZone, Clock::time_point aNow)
  {
    Evacuation& evacuation =
      mEvacuations.try_emplace(aZone, aNow).first->second;
    return evacuation.mNumber = ++mRequests;
  }

  /** @return Whether the evacuation ends: no later request has extended it. */
  bool End(const std::string& aZone, std::uint64_t aRequest)
  {
    const auto it = mEvacuations.find(aZone);
    if (it == mEvacuations.end() || it->second.mNumber != aRequest) {
      return false;
    }
    mEvacuations.erase(it);
    return true;
  }

  /** @return The violation by an order that a worker in a zone receives. */
  std::optional<std::string> CheckOrder(const std::string& aZone,
                                        const std::string& aTask,
                                        Clock::time_point aNow) const
  {
    const auto it = mEvacuations.find(aZone);
    if (it == mEvacuations.end() || aNow - it->second.mSince <= kBound) {
      return std::nullopt;
    }
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - it->second.mSince);
    return aTask + " is ordered in zone " + aZone + ", evacuated for " +
           std::to_string(since.count()) + " ms";
  }

private:
  struct Evacuation
  {
    explicit Evacuation(Clock::time_point aSince)
      : mSince(aSince)
    {
    }

    Clock::time_point mSince;
    std::uint64_t mNumber = 0;
  };

  std::map<std::string, Evacuation> mEvacuations;
  std::uint64_t mRequests = 0;
};

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FLEET_EVACUATION_CHECKER_H
