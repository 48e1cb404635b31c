#include "cornelrudder/protocol/BodyDigest.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cornelrudder::protocol {

std::string
BodyDigest(std::string_view aBody)
{
  std::array<char, 17> buf{};
  const unsigned long long hash = XXH64(aBody.data(), aBody.size(), 0);
  std::snprintf(buf.data(), buf.size(), "%016llx", hash);
  return buf.data();
}

} // namespace cornelrudder::protocol
