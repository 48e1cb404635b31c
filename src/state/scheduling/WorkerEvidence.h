#ifndef CORNELRUDDER_SRC_STATE_SCHEDULING_WORKER_EVIDENCE_H
#define CORNELRUDDER_SRC_STATE_SCHEDULING_WORKER_EVIDENCE_H

#include "LossBasis.h"

#include <array>
#include <optional>

namespace cornelrudder::state::scheduling {

/** What an owner may learn of a worker that has stopped to reply. */
enum class WorkerEvidence
{
  kNoReply,
  kEntryRemoved,
  kNewerEntryAtAddress,
  kDeregistered,
  kOtherWorkerAtAddress,
  kLaterIncarnation,
  kLeaseExpired
};

/** What a kind of evidence proves. */
struct WorkerEvidenceInfo
{
  WorkerEvidence mEvidence;
  /** In the log, as the reason why the runs of a worker are lost. */
  const char* mName;
  /**
   * Whether no run that was started on the worker before can exist any more.
   * Otherwise its runs keep their tasks until other evidence is found.
   */
  bool mEndsRuns;
  /** For the log; empty for what the end of the lease rests on. */
  std::optional<LossBasis> mBasis;
};

/** In the order of WorkerEvidence; docs/platform.md gives the reasons. */
inline constexpr std::array kWorkerEvidence{
  // The worker, the link or this owner may be slow or paused.
  WorkerEvidenceInfo{ WorkerEvidence::kNoReply, "no_reply", false, {} },
  // The store removes entries of workers that it does not hear from, too.
  WorkerEvidenceInfo{ WorkerEvidence::kEntryRemoved,
                      "entry_removed",
                      false,
                      LossBasis::kEntry },
  // Another writer may have written the entry.
  WorkerEvidenceInfo{ WorkerEvidence::kNewerEntryAtAddress,
                      "newer_entry",
                      false,
                      LossBasis::kEntry },
  // Removed before its silence can be the reason, while draining, and silent:
  // the worker has left.
  WorkerEvidenceInfo{ WorkerEvidence::kDeregistered,
                      "left",
                      true,
                      LossBasis::kEntry },
  // A reply of another worker that listens at the address.
  WorkerEvidenceInfo{ WorkerEvidence::kOtherWorkerAtAddress,
                      "other_life",
                      true,
                      LossBasis::kOtherWorkerReply },
  // The runs that the earlier incarnation has reported are gone with it.
  WorkerEvidenceInfo{ WorkerEvidence::kLaterIncarnation,
                      "restarted",
                      true,
                      LossBasis::kRenewReply },
  // The worker kills its runs at the end of its lease, by its own clock.
  WorkerEvidenceInfo{ WorkerEvidence::kLeaseExpired,
                      "lease_expired",
                      true,
                      {} },
};

constexpr const WorkerEvidenceInfo&
InfoOf(WorkerEvidence aEvidence)
{
  return kWorkerEvidence.at(static_cast<std::size_t>(aEvidence));
}

} // namespace cornelrudder::state::scheduling

#endif // CORNELRUDDER_SRC_STATE_SCHEDULING_WORKER_EVIDENCE_H
