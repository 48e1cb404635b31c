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

/** Writes numbers, strings and counts; enforces the bounds that PeerReader
 * checks. */
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

  /** Writes the length and the bytes, since cereal's strings are unbounded. */
  void PutText(std::string_view aText, std::size_t aMaximum)
  {
    PutCount(aText.size(), aMaximum);
    mArchive(cereal::binary_data(aText.data(), aText.size()));
  }

  void PutCount(std::size_t aCount, std::size_t aMaximum)
  {
    if (aCount > aMaximum) {
      throw ProtocolError("peer message: found a length of " +
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
 * Reads the output of PeerWriter. Checks each size against its bound and the
 * remaining bytes before it allocates memory.
 */
class PeerReader
{
public:
  /** @throws ProtocolError if the archive's header is missing. */
  explicit PeerReader(std::string_view aBytes)
    : mStream(std::string(RequireHeader(aBytes)))
    , mArchive(mStream)
    , mRemainingBytes(aBytes.size() - kHeaderBytes)
  {
  }

  template<typename Number>
  Number Get()
  {
    static_assert(std::is_arithmetic_v<Number>);
    ConsumeBytes(sizeof(Number));
    Number number{};
    mArchive(number);
    return number;
  }

  /** Rejects bytes other than 0 and 1, which are undefined as a bool. */
  bool GetFlag()
  {
    const auto n = Get<std::uint8_t>();
    if (n > 1) {
      throw ProtocolError("peer message: found the flag " + std::to_string(n) +
                          "; allowed is 0 or 1");
    }
    return n == 1;
  }

  /** @param aNameFunction Throws std::out_of_range for an unknown enumerator.
   */
  template<typename Enum>
  Enum GetEnum(std::string_view (*aNameFunction)(Enum))
  {
    const auto value = static_cast<Enum>(Get<std::uint8_t>());
    try {
      aNameFunction(value);
    } catch (const std::out_of_range&) {
      throw ProtocolError("peer message: unknown enumerator " +
                          std::to_string(static_cast<int>(value)));
    }
    return value;
  }

  std::string GetText(std::size_t aMaximum)
  {
    const std::size_t n = GetCount(aMaximum);
    ConsumeBytes(n);
    std::string text(n, '\0');
    mArchive(cereal::binary_data(text.data(), n));
    return text;
  }

  /** Also bounds the count by the remaining bytes, as an element has at least
   * one.
   */
  std::size_t GetCount(std::size_t aMaximum)
  {
    const auto n = Get<std::uint32_t>();
    if (n > aMaximum || n > mRemainingBytes) {
      throw ProtocolError("peer message: found a length of " +
                          std::to_string(n) + "; allowed is up to " +
                          std::to_string(aMaximum) + " with " +
                          std::to_string(mRemainingBytes) + " bytes left");
    }
    return n;
  }

  void RequireFullyRead() const
  {
    if (mRemainingBytes != 0) {
      throw ProtocolError("peer message: " + std::to_string(mRemainingBytes) +
                          " unread bytes after the last field");
    }
  }

private:
  /** cereal's header is one byte, the byte order. */
  static constexpr std::size_t kHeaderBytes = 1;

  static std::string_view RequireHeader(std::string_view aBytes)
  {
    if (aBytes.size() < kHeaderBytes) {
      throw ProtocolError("peer message: the frame has no content");
    }
    return aBytes;
  }

  void ConsumeBytes(std::size_t aBytes)
  {
    if (aBytes > mRemainingBytes) {
      throw ProtocolError("peer message: " + std::to_string(aBytes) +
                          " bytes expected, " +
                          std::to_string(mRemainingBytes) + " left");
    }
    mRemainingBytes -= aBytes;
  }

  std::istringstream mStream;
  cereal::PortableBinaryInputArchive mArchive;
  std::size_t mRemainingBytes;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_PEER_ARCHIVE_H
