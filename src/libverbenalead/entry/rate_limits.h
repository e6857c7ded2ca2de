#ifndef VERBENALEAD_ENTRY_RATE_LIMITS_H_
#define VERBENALEAD_ENTRY_RATE_LIMITS_H_

#include <string>

#include "decide/limits/rate_limit.h"
#include "entry/entry_state.h"

namespace verbenalead::entry {

/// The replica with this id in any service, or null.
decide::ReplicaState* FindReplica(EntryState& state, const std::string& id);

/// Whether slots at the replicas of `pool` are granted by target processes.
/// Those also hold the token buckets of rate limits; replicas of other pools
/// have an entry for that.
bool HasTargetProcesses(const decide::ReplicaPool& pool);

/// Host of the entry that holds the token bucket of `replica`, which has no
/// target process; "" if none can.
std::string TokenHolder(const EntryState& state,
                        const decide::ReplicaState& replica,
                        TimePoint now);

/// Takes over what `source` (an answer, a target, another entry) states of the
/// rate limit of a replica if it is newer than what is known, and logs a
/// change.
void LearnRateLimit(EntryState& state,
                    decide::ReplicaState& replica,
                    const decide::RateLimit& limit,
                    const std::string& source);

/// Records that no token was to be had for a call at a limited replica, which
/// therefore gets no calls for `hold_off`. `by` names the process that denied
/// it. Logged when the hold-off begins, not when it is extended.
void HoldBackReplica(EntryState& state,
                     decide::ReplicaState& replica,
                     const std::string& by,
                     Duration hold_off);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_RATE_LIMITS_H_
