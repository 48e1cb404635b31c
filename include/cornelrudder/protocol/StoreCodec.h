#ifndef CORNELRUDDER_PROTOCOL_STORE_CODEC_H
#define CORNELRUDDER_PROTOCOL_STORE_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/StoreRow.h"
#include "cornelrudder/state/Vm.h"

#include <functional>
#include <string>

namespace cornelrudder::protocol {

/** @return The request that reads one row. */
HttpRequest
EncodeReadRow(const std::string& aKey);

/** @return The request that reads all rows whose key has a prefix. */
HttpRequest
EncodeListRows(const std::string& aPrefix);

/** @return The request that runs a transaction. */
HttpRequest
EncodeTransaction(const state::Transaction& aTransaction);

/**
 * Decodes the response to a read, list or transaction request.
 * @return kUnavailable for any status other than 200, 404 and 409.
 * @throws ProtocolError if the body is malformed.
 */
state::StoreResult
DecodeStoreResponse(const HttpResponse& aResponse);

/**
 * @param aEtag Entity tag of the cached list; empty if there is none.
 * @return The request that lists the VMs. The server responds with 304 if the
 *   cached list is current, since the list of a large fleet exceeds 100 KB.
 */
HttpRequest
EncodeListVms(const std::string& aEtag);

/** @return Whether the response states that the cached list is current. */
bool
IsNotModified(const HttpResponse& aResponse);

/** Called with the reason why an entry of a list was skipped. */
using SkippedEntryHandler = std::function<void(const std::string&)>;

/**
 * Skips malformed entries.
 * @throws ProtocolError if the response is no list.
 */
state::VmList
DecodeVmList(const HttpResponse& aResponse,
             const SkippedEntryHandler& aOnSkipped);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_STORE_CODEC_H
