#ifndef CORNELRUDDER_PROTOCOL_WORKER_CODEC_H
#define CORNELRUDDER_PROTOCOL_WORKER_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/WorkerExchange.h"

namespace cornelrudder::protocol {

/** @return The request `POST /gang/{action}`. */
HttpRequest
EncodeWorkerCommand(const state::WorkerCommand& aCommand);

/** @throws ProtocolError if the request is no worker command. */
state::WorkerCommand
DecodeWorkerCommand(const HttpRequest& aRequest);

/** @return The response of a worker that answers. */
HttpResponse
EncodeWorkerReport(const state::WorkerReply& aReport);

/**
 * Decodes a worker's response.
 * @return kUnreachable if the response is not a worker's own answer, since
 *   the command may have been carried out nevertheless.
 */
state::WorkerReply
DecodeWorkerReport(const HttpResponse& aResponse);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_WORKER_CODEC_H
