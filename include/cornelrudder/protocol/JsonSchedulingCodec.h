#ifndef CORNELRUDDER_PROTOCOL_JSON_SCHEDULING_CODEC_H
#define CORNELRUDDER_PROTOCOL_JSON_SCHEDULING_CODEC_H

#include "cornelrudder/coordination/SchedulingCodec.h"

namespace cornelrudder::protocol {

/** Encodes the scheduler's rows as JSON; malformed rows throw
 * CoordinationError. */
class JsonSchedulingCodec final : public coordination::SchedulingCodec
{
public:
  std::string EncodeTaskJob(
    const state::scheduling::TaskJob& aJob) const override;
  state::scheduling::TaskJob DecodeTaskJob(
    const std::string& aValue) const override;
  std::string EncodeProgress(
    const state::scheduling::JobProgress& aProgress) const override;
  state::scheduling::JobProgress DecodeProgress(
    const std::string& aValue) const override;
  std::string EncodeOwnerLease(
    const state::scheduling::OwnerLease& aLease) const override;
  state::scheduling::OwnerLease DecodeOwnerLease(
    const std::string& aValue) const override;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JSON_SCHEDULING_CODEC_H
