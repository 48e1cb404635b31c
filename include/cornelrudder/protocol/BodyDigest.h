#ifndef CORNELRUDDER_PROTOCOL_BODY_DIGEST_H
#define CORNELRUDDER_PROTOCOL_BODY_DIGEST_H

#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** @return The XXH64 of a body as 16 hexadecimal digits. */
std::string
BodyDigest(std::string_view aBody);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_BODY_DIGEST_H
