#ifndef CORNELRUDDER_PROTOCOL_JSON_ROW_CODEC_H
#define CORNELRUDDER_PROTOCOL_JSON_ROW_CODEC_H

#include "cornelrudder/coordination/RowCodec.h"

namespace cornelrudder::protocol {

/** Encodes table rows as JSON; malformed rows throw CoordinationError. */
class JsonRowCodec final : public coordination::RowCodec
{
public:
  std::string EncodeDocument(
    const state::SettingsDocument& aDocument) const override;
  state::SettingsDocument DecodeDocument(
    const std::string& aValue) const override;
  std::string EncodeHead(const state::SettingsHead& aHead) const override;
  state::SettingsHead DecodeHead(const std::string& aValue) const override;
  std::string EncodeLease(const state::LeaseRow& aRow) const override;
  state::LeaseRow DecodeLease(const std::string& aValue) const override;
  std::string EncodeJob(const state::Job& aJob) const override;
  state::Job DecodeJob(const std::string& aValue) const override;
  std::string EncodeIntent(const state::Intent& aIntent) const override;
  state::Intent DecodeIntent(const std::string& aValue) const override;
};

} // namespace cornelrudder::protocol

#endif // CORNELRUDDER_PROTOCOL_JSON_ROW_CODEC_H
