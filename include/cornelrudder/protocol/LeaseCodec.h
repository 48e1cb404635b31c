#ifndef CORNELRUDDER_PROTOCOL_LEASE_CODEC_H
#define CORNELRUDDER_PROTOCOL_LEASE_CODEC_H

#include "cornelrudder/state/LeaseRow.h"

#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** @return The row's value as JSON; the owner is null after a release. */
std::string
EncodeLeaseRow(const state::LeaseRow& aRow);

/** @throws ProtocolError if the text is not an encoded lease row. */
state::LeaseRow
DecodeLeaseRow(std::string_view aText);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_LEASE_CODEC_H
