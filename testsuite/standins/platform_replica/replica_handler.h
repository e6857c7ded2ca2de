#ifndef VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
#define VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_

#include <memory>

#include "standins/platform_replica/replica.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Creates the handler of a simulated replica of the users' platform.
/// For tests, `GET /state` returns its version and counters, `GET /arrivals`
/// the times at which calls arrived, in ms of the steady clock, and `POST
/// /limit` sets the rate limit that its answers name to the body.
wire::Handler MakeReplicaHandler(std::shared_ptr<Replica> replica);

/// Registers the replica: writes its row into the store at every heartbeat
/// interval. Never returns.
Awaitable<void> RegisterPeriodically(std::shared_ptr<Replica> replica);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
