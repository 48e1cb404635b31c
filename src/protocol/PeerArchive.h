#ifndef CORNELRUDDER_PROTOCOL_PEER_ARCHIVE_H
#define CORNELRUDDER_PROTOCOL_PEER_ARCHIVE_H

#include "cornelrudder/protocol/ProtocolError.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace cornelrudder::protocol {

/** Writes numbers, texts and counts with the bounds that the reader checks. */
class PeerWriter
{
public:
  PeerWriter()
    : mArchive(mStream)
  {
  }

  template<typename Number>
  void Put(Number aNumber)
  {
    static_assert(std::is_arithmetic_v<Number>);
    mArchive(aNumber);
  }

  template<typename Enum>
  void PutEnum(Enum aValue)
  {
    Put(static_cast<std::uint8_t>(aValue));
  }

  /** cereal's own texts have no bound, so that the length goes first. */
  void PutText(std::string_view aText, std::size_t aMaximum)
  {
    PutCount(aText.size(), aMaximum);
    mArchive(cereal::binary_data(aText.data(), aText.size()));
  }

  void PutCount(std::size_t aCount, std::size_t aMaximum)
  {
    if (aCount > aMaximum) {
      throw ProtocolError("peer message: found a part of " +
                          std::to_string(aCount) + "; allowed is up to " +
                          std::to_string(aMaximum));
    }
    Put(static_cast<std::uint32_t>(aCount));
  }

  std::string Bytes() const { return mStream.str(); }

private:
  std::ostringstream mStream;
  cereal::PortableBinaryOutputArchive mArchive;
};

/**
 * Reads what PeerWriter wrote; checks each size against its bound and the
 * bytes that are left before it takes memory.
 */
class PeerReader
{
public:
  /** @throws ProtocolError if the header of the archive is missing. */
  explicit PeerReader(std::string_view aBytes)
    : mStream(std::string(RequireHeader(aBytes)))
    , mArchive(mStream)
    , mLeft(aBytes.size() - kHeaderBytes)
  {
  }

  template<typename Number>
  Number Get()
  {
    static_assert(std::is_arithmetic_v<Number>);
    Take(sizeof(Number));
    Number number{};
    mArchive(number);
    return number;
  }

  /** Any byte but 0 and 1 would be undefined as a bool. */
  bool GetFlag()
  {
    const auto n = Get<std::uint8_t>();
    if (n > 1) {
      throw ProtocolError("peer message: found the flag " + std::to_string(n) +
                          "; allowed is 0 or 1");
    }
    return n == 1;
  }

  /** @param aNameOf Throws std::out_of_range for an unknown enumerator. */
  template<typename Enum>
  Enum GetEnum(std::string_view (*aNameOf)(Enum))
  {
    const auto value = static_cast<Enum>(Get<std::uint8_t>());
    try {
      aNameOf(value);
    } catch (const std::out_of_range&) {
      throw ProtocolError("peer message: unknown enumerator " +
                          std::to_string(static_cast<int>(value)));
    }
    return value;
  }

  std::string GetText(std::size_t aMaximum)
  {
    const std::size_t n = GetCount(aMaximum);
    Take(n);
    std::string text(n, '\0');
    mArchive(cereal::binary_data(text.data(), n));
    return text;
  }

  /** Each element takes at least a byte, which bounds the count further. */
  std::size_t GetCount(std::size_t aMaximum)
  {
    const auto n = Get<std::uint32_t>();
    if (n > aMaximum || n > mLeft) {
      throw ProtocolError("peer message: found a part of " + std::to_string(n) +
                          "; allowed is up to " + std::to_string(aMaximum) +
                          " with " + std::to_string(mLeft) + " bytes left");
    }
    return n;
  }

  void RequireEnd() const
  {
    if (mLeft != 0) {
      throw ProtocolError("peer message: " + std::to_string(mLeft) +
                          " bytes too many");
    }
  }

private:
  /** cereal puts the byte order first. */
  static constexpr std::size_t kHeaderBytes = 1;

  static std::string_view RequireHeader(std::string_view aBytes)
  {
    if (aBytes.size() < kHeaderBytes) {
      throw ProtocolError("peer message: no content");
    }
    return aBytes;
  }

  void Take(std::size_t aBytes)
  {
    if (aBytes > mLeft) {
      throw ProtocolError("peer message: " + std::to_string(aBytes) +
                          " bytes expected, " + std::to_string(mLeft) +
                          " left");
    }
    mLeft -= aBytes;
  }

  std::istringstream mStream;
  cereal::PortableBinaryInputArchive mArchive;
  std::size_t mLeft;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_PEER_ARCHIVE_H
