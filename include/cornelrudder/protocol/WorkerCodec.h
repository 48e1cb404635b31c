#ifndef CORNELRUDDER_PROTOCOL_WORKER_CODEC_H
#define CORNELRUDDER_PROTOCOL_WORKER_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/WorkerExchange.h"

namespace cornelrudder::protocol {

/** @return The request `POST /gang/{action}`. */
HttpRequest
EncodeWorkerCommand(const state::WorkerCommand& aCommand);

/** @throws ProtocolError if the request is not a worker command. */
state::WorkerCommand
DecodeWorkerCommand(const HttpRequest& aRequest);

/** @return The response of a worker to a command. */
HttpResponse
EncodeWorkerReport(const state::WorkerReply& aReport);

/**
 * Decodes a worker's response.
 * @return kUnreachable if the response does not come from a worker; the
 *   worker may have executed the command nevertheless.
 */
state::WorkerReply
DecodeWorkerReport(const HttpResponse& aResponse);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_WORKER_CODEC_H
