#ifndef VERBENALEAD_DECIDE_PLACEMENT_LIVE_REPLICAS_H_
#define VERBENALEAD_DECIDE_PLACEMENT_LIVE_REPLICAS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "model/replica.h"

namespace verbenalead::decide {

/// Returns the replicas of `listed` without those whose address another replica
/// has taken over.
///
/// Failure: a replica dies and restarts, or its address goes to another
/// service, while its old row stays in the store for several heartbeats.
/// Symptom: half of the calls to that address are meant for a replica that no
/// longer exists, and are rejected. Two live replicas can't share an address,
/// and a dead one writes no more rows, so the row with the highest revision is
/// valid.
///
/// `services`: the services of the configuration; rows of other services, as
/// another program may write them, take over no address from a replica of one
/// of these. Null: the revision alone decides.
std::map<std::string, model::Replica> LiveReplicas(
    const std::map<std::string, model::Replica>& listed,
    const std::set<std::string>* services = nullptr);

/// Hash of a list of replicas. Processes with equal hashes have the same list
/// and need not exchange it. Fields that change with each heartbeat are left
/// out.
uint64_t HashOf(const std::map<std::string, model::Replica>& replicas);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_LIVE_REPLICAS_H_
