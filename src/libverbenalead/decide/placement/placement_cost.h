#ifndef VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_COST_H_
#define VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_COST_H_

#include <cstdint>

#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {

/// What it costs to place a call at a replica, and whether it can be on time
/// there.

/// Calls of all entries at the replica.
inline uint32_t CallsAt(const ReplicaState& state) {
  return state.m_in_flight + state.m_other_entries_calls;
}

/// Whether the replica is cold, and calls to it are limited for that.
inline bool IsLimitedCold(const ReplicaPool& pool,
                          const ReplicaState& state,
                          TimePoint now) {
  return IsValidColdRate(pool.m_cold_limits.m_rate) &&
         IsCold(state.m_known.m_cold, now);
}

/// Prompt tokens that the replica reads per second; 0 if the service runs no
/// model.
double ReadingRate(const ReplicaPool& pool,
                   const ReplicaState& state,
                   TimePoint now);

/// Whether a replica that has `calls` calls and `unread` prompt tokens to read
/// takes one more call.
bool HasRoom(uint32_t slots,
             double reading_rate,
             uint32_t calls,
             uint64_t unread);

/// Cost of placing `call` at the replica: the calls there as a share of its
/// slots (where speeds count: these and one more, times the replica's
/// slowness), and additions for what makes it a worse choice. Calls go to the
/// replica of least cost.
double PlacementCost(const ReplicaPool& pool,
                     const ReplicaState& state,
                     const PoolCall& call,
                     TimePoint now);

/// Whether the unread prompts at the replica leave `call` enough time to be on
/// time there.
bool CanReadInTime(const ReplicaPool& pool,
                   const ReplicaState& state,
                   const PoolCall& call,
                   TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_PLACEMENT_COST_H_
