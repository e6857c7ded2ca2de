#ifndef VERBENALEAD_DECIDE_PLACEMENT_GONE_REPLICAS_H_
#define VERBENALEAD_DECIDE_PLACEMENT_GONE_REPLICAS_H_

#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "model/replica.h"

namespace verbenalead::decide {

/// Incarnations of replicas whose rows were removed.
///
/// Failure: the store comes back from a copy that still lists a replica which
/// is gone. Symptom: it gets calls until its row expires again. What this
/// process knows holds against the copy for as long as the row of a dead
/// replica can stay there; a live one, whose row had expired, writes it again
/// or stays beyond that time.
struct GoneReplicas {
  struct Gone {
    model::Replica m_replica;
    Duration m_forget_at{};
    /// Revision of its row in the copy, once that was seen.
    std::optional<model::Revision> m_in_copy;
  };
  std::map<std::string, Gone> m_gone;
};

/// Time after the store's return for which a dead replica's row may be listed:
/// it expires after three heartbeats of 1.2 s, and is read within a second.
constexpr Duration kDeadRowsExpireWithin = 5s;

/// Records that the row of `replica` was removed.
void RecordGone(GoneReplicas& gone,
                const model::Replica& replica,
                Duration now);

/// Whether `listed` is only the old row of an incarnation that is known to be
/// gone, brought back by a copy. `era_since`: when the store's era was first
/// seen to follow an older one.
bool IsBackFromCopy(GoneReplicas& gone,
                    const model::Replica& listed,
                    std::optional<Duration> era_since,
                    Duration now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_GONE_REPLICAS_H_
