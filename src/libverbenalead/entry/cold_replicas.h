#ifndef VERBENALEAD_ENTRY_COLD_REPLICAS_H_
#define VERBENALEAD_ENTRY_COLD_REPLICAS_H_

#include <functional>
#include <string>

#include "entry/entry_state.h"

namespace verbenalead::entry {

/// Applies what the configuration and the settings say of the cold replicas of
/// `service` to its pool. A rate or a time that can't be used is logged once.
void ApplyColdConfig(EntryState& state,
                     const model::Service& service,
                     decide::ReplicaPool& pool);

/// Takes over how long an answer to `call` says that the replica is cold. Does
/// nothing if replicas of the pool are never cold.
void LearnColdAnswer(EntryState& state,
                     const decide::ReplicaPool& pool,
                     decide::ReplicaState& replica,
                     Duration left,
                     const std::string& call);

/// Logs the replicas whose cold time has begun, changed or ended since the last
/// call, calls `on_change` for each replica with a target process, and exports
/// how many replicas are cold. Called every kCallUpdateInterval.
void ReportColdReplicas(
    EntryState& state,
    const std::function<void(const decide::ReplicaState&)>& on_change,
    TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_COLD_REPLICAS_H_
