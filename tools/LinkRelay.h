#ifndef CORNELRUDDER_TOOLS_LINK_RELAY_H
#define CORNELRUDDER_TOOLS_LINK_RELAY_H

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cornelrudder::tools {

/** Faults of a link; command line options and `PUT /faults` set them. */
struct LinkFaults
{
  /** Each chunk of bytes is delayed by a random time in this range. */
  std::int64_t mMinDelayMs = 0;
  std::int64_t mMaxDelayMs = 0;
  /**
   * Share of chunks that are delayed by kRetransmitMs more, as after a packet
   * loss; later chunks wait for them. In chunks per thousand.
   */
  std::int64_t mLossPerMille = 0;
  /** 1 to close open connections and reject new ones, as if cut; else 0. */
  std::int64_t mCut = 0;
  /** 1 to keep connections open but deliver no bytes, as in a partition. */
  std::int64_t mStall = 0;

  auto operator<=>(const LinkFaults&) const = default;
};

/** Delay of a lost packet: the minimum TCP retransmission timeout of Linux. */
inline constexpr std::int64_t kRetransmitMs = 200;

/**
 * Parses a JSON object with any of min_delay_ms, max_delay_ms,
 * loss_per_mille, cut, stall; keys not given keep the value of aCurrent.
 * @throws std::runtime_error that names the invalid key or value.
 * @throws nlohmann::json::exception if the text is not such an object.
 */
LinkFaults
ParseLinkFaults(const std::string& aText, const LinkFaults& aCurrent);

/** Relays TCP connections with random delays and simulated faults. */
class LinkRelay
{
public:
  /**
   * @param aListen "a.b.c.d:port"; port 0 picks a free one.
   * @param aTarget Address that each connection is relayed to.
   * @param aSeed Seed of the random delays and losses.
   * @throws std::runtime_error if an address cannot be used.
   */
  LinkRelay(const std::string& aListen,
            const std::string& aTarget,
            const LinkFaults& aFaults,
            std::uint64_t aSeed);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /** @return The listen address with the actual port. */
  std::string Address() const;

  /** Also affects open connections. May be called from any thread. */
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
