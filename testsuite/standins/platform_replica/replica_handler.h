#ifndef VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
#define VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_

#include <memory>

#include "standins/platform_replica/replica.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Answers what a replica of the users' platform answers. `GET /state` tells a
/// case what has happened.
wire::Handler MakeReplicaHandler(std::shared_ptr<Replica> replica);

/// Writes the replica's row into the store, again and again.
Awaitable<void> KeepRegistered(std::shared_ptr<Replica> replica);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
