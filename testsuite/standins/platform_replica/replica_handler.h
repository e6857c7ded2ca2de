#ifndef VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
#define VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_

#include <memory>

#include "standins/platform_replica/replica.h"
#include "wire/response_writer.h"

namespace verbenalead::standins {

/// Creates the handler of a simulated replica of the users' platform.
/// For tests, `GET /state` returns its version and counters, `GET /arrivals`
/// the times at which calls arrived, in ms of the steady clock, and `GET
/// /call-log` each call with what its answer stated. The body of `POST /limit`
/// sets the rate limit that its answers name, that of `POST /leaving` the text
/// with which they state that it is leaving, and that of `POST /rest` the rest
/// for which it asks while it turns all calls away.
wire::Handler MakeReplicaHandler(std::shared_ptr<Replica> replica);

/// Registers the replica: writes its row into the store at every heartbeat
/// interval. Never returns.
Awaitable<void> RegisterPeriodically(std::shared_ptr<Replica> replica);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_PLATFORM_REPLICA_REPLICA_HANDLER_H_
