#ifndef CORNELRUDDER_STATE_ENDPOINT_HEALTH_H
#define CORNELRUDDER_STATE_ENDPOINT_HEALTH_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <vector>

namespace cornelrudder::state {

/** Class and result of one request to an endpoint. */
class EndpointExchange
{
public:
  EndpointExchange(ClassName aClass, bool aFailed)
    : mClass(std::move(aClass))
    , mFailed(aFailed)
  {
  }

  const ClassName& Class() const { return mClass; }
  bool Failed() const { return mFailed; }

  auto operator<=>(const EndpointExchange&) const = default;

private:
  ClassName mClass;
  bool mFailed;
};

enum class EndpointState
{
  kHealthy,
  /** Receives no new requests except at most one probe per kProbeInterval. */
  kQuarantined
};

/** Health of an endpoint, derived from its last exchanges. */
class EndpointHealth
{
public:
  static constexpr std::size_t kWindowExchanges = 20;

  /**
   * Fewest exchanges that can lead to quarantine; a single failure among two
   * exchanges is not significant.
   */
  static constexpr std::size_t kMinExchanges = 5;

  static constexpr std::chrono::milliseconds kProbeInterval{ 10'000 };

  /** Consecutive successes that end a quarantine. */
  static constexpr int kSuccessesToRecover = 5;

  EndpointState State() const { return mState; }

  /** The last exchanges, oldest first. */
  const std::vector<EndpointExchange>& Exchanges() const { return mExchanges; }

  /** @return Whether more than half of the last exchanges failed. */
  bool MajorityFailed() const;

  /** @return Whether one of the last exchanges of a class succeeded. */
  bool HasSucceeded(const ClassName& aClass) const;

  /**
   * Adds an exchange. Quarantine starts on a failed exchange if more than half
   * of the exchanges in the window failed and the class of this one succeeds on
   * other endpoints. It ends after kSuccessesToRecover consecutive successes,
   * with an empty window.
   * @param aClassSucceedsElsewhere Whether requests of the same class recently
   *   succeeded on other endpoints. If not, the failure is attributed to the
   *   request and not to the endpoint.
   */
  EndpointHealth WithExchange(const EndpointExchange& aExchange,
                              bool aClassSucceedsElsewhere,
                              std::chrono::milliseconds aNow) const&;

  /** Reuses the memory of the replaced value; called for each exchange. */
  EndpointHealth WithExchange(const EndpointExchange& aExchange,
                              bool aClassSucceedsElsewhere,
                              std::chrono::milliseconds aNow) &&;

  /** @return Whether the endpoint is in quarantine and a probe may be sent. */
  bool IsProbeDue(std::chrono::milliseconds aNow) const;

  /** @return Time of the next probe; meaningful only in quarantine. */
  std::chrono::milliseconds NextProbeAt() const { return mNextProbeAt; }

  /** @return The health after sending a probe at aNow. */
  EndpointHealth WithProbe(std::chrono::milliseconds aNow) const;

  auto operator<=>(const EndpointHealth&) const = default;

private:
  EndpointState mState = EndpointState::kHealthy;
  std::vector<EndpointExchange> mExchanges;
  int mConsecutiveSuccesses = 0;
  std::chrono::milliseconds mNextProbeAt{ 0 };
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_ENDPOINT_HEALTH_H
