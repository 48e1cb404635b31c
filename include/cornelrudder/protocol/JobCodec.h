#ifndef CORNELRUDDER_PROTOCOL_JOB_CODEC_H
#define CORNELRUDDER_PROTOCOL_JOB_CODEC_H

#include "cornelrudder/protocol/HttpMessage.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/JobCommand.h"

#include <chrono>
#include <string>
#include <string_view>

namespace cornelrudder::protocol {

/** One year; a longer expected run time is considered an input error. */
inline constexpr std::chrono::seconds kMaxExpectedRunTime{ 366LL * 24 * 3'600 };

/** @return The job as the value of its row. */
std::string
EncodeJob(const state::Job& aJob);

/** @throws ProtocolError if the text is not an encoded job. */
state::Job
DecodeJob(std::string_view aText);

/**
 * Decodes the body of `POST /v1/jobs`. The headers x-organisation and x-team
 * are used if the body lacks these fields.
 * @param aId Identifier that the daemon assigned to the job.
 * @throws ProtocolError naming the field that is missing or malformed.
 */
state::JobSpec
DecodeJobSpec(const state::JobId& aId, const HttpRequest& aRequest);

/** @return The body of `POST /v1/jobs` for a job. */
std::string
EncodeJobSpec(const state::JobSpec& aSpec);

/** @return The response to a command about jobs. */
HttpResponse
EncodeJobReply(state::JobCommandKind aKind, const state::JobReply& aReply);

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JOB_CODEC_H
