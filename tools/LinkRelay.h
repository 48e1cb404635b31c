#ifndef CORNELRUDDER_TOOLS_LINK_RELAY_H
#define CORNELRUDDER_TOOLS_LINK_RELAY_H

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cornelrudder::tools {

/** How a link behaves; set by options and by `PUT /faults`. */
struct LinkFaults
{
  /** Each chunk of bytes is delayed by a time in this range. */
  std::int64_t mMinDelayMs = 0;
  std::int64_t mMaxDelayMs = 0;
  /**
   * Chunks of a thousand that take kRetransmitMs longer, as after the loss of
   * a packet; those behind them wait.
   */
  std::int64_t mLossPerMille = 0;
  /** Whether connections are closed and new ones refused. */
  std::int64_t mCut = 0;
  /** Whether connections stay open but no byte passes, as in a partition. */
  std::int64_t mStall = 0;

  auto operator<=>(const LinkFaults&) const = default;
};

/** Delay of a lost packet: the least retransmission timeout of Linux. */
inline constexpr std::int64_t kRetransmitMs = 200;

/**
 * Parses a JSON object with any of min_delay_ms, max_delay_ms,
 * loss_per_mille, cut, stall; the others keep their values.
 * @throws std::runtime_error naming what is wrong.
 */
LinkFaults
ParseLinkFaults(const std::string& aText, const LinkFaults& aCurrent);

/** Passes on the bytes of TCP connections with delays that vary. */
class LinkRelay
{
public:
  /**
   * @param aListen "a.b.c.d:port"; port 0 picks a free one.
   * @param aTarget Address that each connection is passed on to.
   * @param aSeed Of the delays and losses.
   * @throws std::runtime_error if an address cannot be used.
   */
  LinkRelay(const std::string& aListen,
            const std::string& aTarget,
            const LinkFaults& aFaults,
            std::uint64_t aSeed);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /** @return The address with the port in use. */
  std::string Address() const;

  /** May be called from any thread; takes effect on open connections too. */
  void SetFaults(const LinkFaults& aFaults);

  /** Runs until Stop is called. */
  void Run();

  /** May be called from any thread. */
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace cornelrudder::tools

#endif // CORNELRUDDER_TOOLS_LINK_RELAY_H
