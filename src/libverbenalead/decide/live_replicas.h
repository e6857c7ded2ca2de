#ifndef VERBENALEAD_DECIDE_LIVE_REPLICAS_H_
#define VERBENALEAD_DECIDE_LIVE_REPLICAS_H_

#include <cstdint>
#include <map>
#include <string>

#include "model/replica.h"

namespace verbenalead::decide {

/// The replicas of `listed` but for those whose address somebody else has now.
///
/// Failure: a replica dies and starts again, or another service gets its
/// address; its old row stays in the store for some heartbeats. Symptom: half
/// of the calls to that address are meant for a replica that isn't there, and
/// are turned away. Two live replicas can't share an address, and a dead one
/// writes nothing more; so the row that was written last is the one to believe.
std::map<std::string, model::Replica> LiveReplicas(
    const std::map<std::string, model::Replica>& listed);

/// Stands for a list of replicas: two processes that have the same one needn't
/// hand it on. What changes with each heartbeat is left out.
uint64_t HashOf(const std::map<std::string, model::Replica>& replicas);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIVE_REPLICAS_H_
