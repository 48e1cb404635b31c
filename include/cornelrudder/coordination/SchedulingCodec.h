#ifndef CORNELRUDDER_COORDINATION_SCHEDULING_CODEC_H
#define CORNELRUDDER_COORDINATION_SCHEDULING_CODEC_H

#include "cornelrudder/state/scheduling/Catalog.h"
#include "cornelrudder/state/scheduling/JobProgress.h"
#include "cornelrudder/state/scheduling/OwnerLease.h"
#include "cornelrudder/state/scheduling/TaskJob.h"
#include "cornelrudder/state/scheduling/WorkerInfo.h"

#include <cstdint>
#include <string>

namespace cornelrudder::coordination {

/** Encodes and decodes the rows that the daemons write. */
class SchedulingCodec
{
public:
  virtual ~SchedulingCodec() = default;

  virtual std::string EncodeTaskJob(
    const state::scheduling::TaskJob& aJob) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::scheduling::TaskJob DecodeTaskJob(
    const std::string& aValue) const = 0;

  virtual std::string EncodeProgress(
    const state::scheduling::JobProgress& aProgress) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::scheduling::JobProgress DecodeProgress(
    const std::string& aValue) const = 0;

  virtual std::string EncodeOwnerLease(
    const state::scheduling::OwnerLease& aLease) const = 0;

  /** @throws CoordinationError if the row is malformed. */
  virtual state::scheduling::OwnerLease DecodeOwnerLease(
    const std::string& aValue) const = 0;
};

/** Decodes the rows that operators and workers write. */
class PlatformRowCodec
{
public:
  virtual ~PlatformRowCodec() = default;

  /**
   * @param aRowVersion Store version of the row.
   * @throws CoordinationError if the row is malformed.
   */
  virtual state::scheduling::Catalog DecodeCatalog(
    const std::string& aValue,
    std::uint64_t aRowVersion) const = 0;

  /**
   * @param aId The worker's identifier, from the row's key.
   * @throws CoordinationError if the row does not describe a usable worker.
   */
  virtual state::scheduling::WorkerInfo DecodeWorker(
    const std::string& aId,
    const std::string& aValue) const = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_SCHEDULING_CODEC_H
