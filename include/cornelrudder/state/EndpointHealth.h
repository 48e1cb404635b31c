#ifndef CORNELRUDDER_STATE_ENDPOINT_HEALTH_H
#define CORNELRUDDER_STATE_ENDPOINT_HEALTH_H

#include "cornelrudder/state/Ids.h"

#include <chrono>
#include <vector>

namespace cornelrudder::state {

/** One exchange with an endpoint, as its health sees it. */
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
  /** Gets nothing but a probe every kProbeInterval. */
  kQuarantined
};

/** What the last exchanges say about an endpoint. */
class EndpointHealth
{
public:
  static constexpr std::size_t kWindowExchanges = 20;

  /**
   * Fewest exchanges that can lead to quarantine; a single failure among two
   * exchanges says little.
   */
  static constexpr std::size_t kMinExchanges = 5;

  static constexpr std::chrono::milliseconds kProbeInterval{ 10'000 };

  /** Successes in a row that end a quarantine. */
  static constexpr int kSuccessesToRecover = 5;

  EndpointState State() const { return mState; }

  /** The last exchanges, oldest first. */
  const std::vector<EndpointExchange>& Exchanges() const { return mExchanges; }

  /** @return Whether more than half of the last exchanges failed. */
  bool MajorityFailed() const;

  /** @return Whether one of the last exchanges of a class succeeded. */
  bool HasSucceeded(const ClassName& aClass) const;

  /**
   * Adds an exchange. Quarantine begins when failures exceed half and the
   * class of a failed exchange succeeds elsewhere; it ends after
   * kSuccessesToRecover successes in a row, with an empty window.
   * @param aClassSucceedsElsewhere Whether the exchange's class succeeded on
   * other endpoints lately. If not, the work is at fault, not the endpoint.
   */
  EndpointHealth WithExchange(const EndpointExchange& aExchange,
                              bool aClassSucceedsElsewhere,
                              std::chrono::milliseconds aNow) const&;

  /** Uses the memory of a value that is replaced; it is on the path of each
   * answer. */
  EndpointHealth WithExchange(const EndpointExchange& aExchange,
                              bool aClassSucceedsElsewhere,
                              std::chrono::milliseconds aNow) &&;

  /** @return Whether a probe may be sent. */
  bool IsProbeDue(std::chrono::milliseconds aNow) const;

  /** @return When the next probe may be sent; only while in quarantine. */
  std::chrono::milliseconds NextProbeAt() const { return mNextProbeAt; }

  /** Notes that a probe was sent. */
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
