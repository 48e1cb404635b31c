#ifndef CORNELRUDDER_PROTOCOL_RUNNER_CODEC_H
#define CORNELRUDDER_PROTOCOL_RUNNER_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/RunnerExchange.h"

namespace cornelrudder::protocol {

/** @return The HTTP request that dispatches a run to its runner. */
HttpRequest
EncodeRunnerRequest(const state::RunDispatch& aDispatch);

/**
 * Decodes a runner's response; checks its request identifier and body digest.
 * @param aRequest The request that was sent.
 * @param aResponse The runner's response.
 */
state::RunnerResult
DecodeRunnerResponse(const state::RequestId& aRequest,
                     const HttpResponse& aResponse);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_RUNNER_CODEC_H
