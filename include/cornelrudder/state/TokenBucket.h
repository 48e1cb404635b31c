#ifndef CORNELRUDDER_STATE_TOKEN_BUCKET_H
#define CORNELRUDDER_STATE_TOKEN_BUCKET_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace cornelrudder::state {

/** Limits the rate of an action and allows bursts. */
class TokenBucket
{
public:
  /**
   * @param aBurst Largest number of tokens; the bucket starts with as many.
   * @param aPerSecond Tokens that are added in a second.
   * @throws StateError if a parameter is not positive.
   */
  TokenBucket(std::int64_t aBurst, std::int64_t aPerSecond);

  /**
   * @param aNow Time on a steady clock, not before that of an earlier call.
   * @return The bucket after one token was taken, or nothing if it is empty.
   */
  std::optional<TokenBucket> WithTake(std::chrono::milliseconds aNow) const;

  auto operator<=>(const TokenBucket&) const = default;

private:
  std::int64_t mBurst;
  std::int64_t mPerSecond;
  /** In thousandths of a token. */
  std::int64_t mThousandths;
  std::optional<std::chrono::milliseconds> mFilledAt;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_TOKEN_BUCKET_H
