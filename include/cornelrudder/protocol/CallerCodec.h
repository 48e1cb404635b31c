#ifndef CORNELRUDDER_PROTOCOL_CALLER_CODEC_H
#define CORNELRUDDER_PROTOCOL_CALLER_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/RunRequest.h"

namespace cornelrudder::protocol {

/**
 * Decodes `POST /v1/requests/{class}`.
 * @param aId Identifier that the daemon assigned to the request.
 * @param aClass The class in the path.
 * @throws ProtocolError naming the header that is missing or malformed.
 */
state::RunRequest
DecodeRunRequest(const state::RequestId& aId,
                 const std::string& aClass,
                 const HttpRequest& aRequest);

/** @return The response that reports the outcome of a request. */
HttpResponse
EncodeRunOutcome(const state::RequestId& aId,
                 const state::RunOutcome& aOutcome);

/**
 * @param aStatus HTTP status.
 * @param aReason Stable name of the refusal.
 * @param aDetail Explanation for a human reader.
 * @return An error response that states that nothing ran.
 */
HttpResponse
EncodeError(int aStatus, std::string_view aReason, std::string_view aDetail);

/** @return The HTTP status for a failure reason; 200 for kNone. */
int
HttpStatusOf(state::FailureReason aReason);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_CALLER_CODEC_H
