#include "cornelrudder/protocol/JsonRowCodec.h"

#include "cornelrudder/coordination/CoordinationError.h"
#include "cornelrudder/protocol/IntentCodec.h"
#include "cornelrudder/protocol/JobCodec.h"
#include "cornelrudder/protocol/LeaseCodec.h"
#include "cornelrudder/protocol/ProtocolError.h"
#include "cornelrudder/protocol/SettingsCodec.h"

namespace cornelrudder::protocol {

namespace {

template<typename Decoder>
auto
ConvertErrors(Decoder aDecoder, const std::string& aValue)
{
  try {
    return aDecoder(aValue);
  } catch (const ProtocolError& error) {
    throw coordination::CoordinationError(error.what());
  }
}

} // namespace

std::string
JsonRowCodec::EncodeDocument(const state::SettingsDocument& aDocument) const
{
  return EncodeSettingsDocument(aDocument);
}

state::SettingsDocument
JsonRowCodec::DecodeDocument(const std::string& aValue) const
{
  return ConvertErrors(DecodeSettingsDocument, aValue);
}

std::string
JsonRowCodec::EncodeHead(const state::SettingsHead& aHead) const
{
  return EncodeSettingsHead(aHead);
}

state::SettingsHead
JsonRowCodec::DecodeHead(const std::string& aValue) const
{
  return ConvertErrors(DecodeSettingsHead, aValue);
}

std::string
JsonRowCodec::EncodeLease(const state::LeaseRow& aRow) const
{
  return EncodeLeaseRow(aRow);
}

state::LeaseRow
JsonRowCodec::DecodeLease(const std::string& aValue) const
{
  return ConvertErrors(DecodeLeaseRow, aValue);
}

std::string
JsonRowCodec::EncodeJob(const state::Job& aJob) const
{
  return protocol::EncodeJob(aJob);
}

state::Job
JsonRowCodec::DecodeJob(const std::string& aValue) const
{
  return ConvertErrors(protocol::DecodeJob, aValue);
}

std::string
JsonRowCodec::EncodeIntent(const state::Intent& aIntent) const
{
  return protocol::EncodeIntent(aIntent);
}

state::Intent
JsonRowCodec::DecodeIntent(const std::string& aValue) const
{
  return ConvertErrors(protocol::DecodeIntent, aValue);
}

} // namespace cornelrudder::protocol
