#ifndef CORNELRUDDER_COORDINATION_ROW_CODEC_H
#define CORNELRUDDER_COORDINATION_ROW_CODEC_H

#include "cornelrudder/state/Intent.h"
#include "cornelrudder/state/Job.h"
#include "cornelrudder/state/LeaseRow.h"
#include "cornelrudder/state/SettingsDocument.h"

#include <string>

namespace cornelrudder::coordination {

/** Encodes and decodes the values of table rows. */
class RowCodec
{
public:
  virtual ~RowCodec() = default;

  virtual std::string EncodeDocument(
    const state::SettingsDocument& aDocument) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::SettingsDocument DecodeDocument(
    const std::string& aValue) const = 0;

  virtual std::string EncodeHead(const state::SettingsHead& aHead) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::SettingsHead DecodeHead(const std::string& aValue) const = 0;

  virtual std::string EncodeLease(const state::LeaseRow& aRow) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::LeaseRow DecodeLease(const std::string& aValue) const = 0;

  virtual std::string EncodeJob(const state::Job& aJob) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::Job DecodeJob(const std::string& aValue) const = 0;

  virtual std::string EncodeIntent(const state::Intent& aIntent) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::Intent DecodeIntent(const std::string& aValue) const = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_ROW_CODEC_H
