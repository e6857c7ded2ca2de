#ifndef VERBENALEAD_BASE_SPAWN_H_
#define VERBENALEAD_BASE_SPAWN_H_

#include <boost/asio/any_io_executor.hpp>

#include "base/awaitable.h"

namespace verbenalead {

/// Runs `task` on `executor` by itself. An exception that leaves it is logged
/// under `name` and goes no further: what one connection or message brings must
/// not end the process.
void Spawn(const boost::asio::any_io_executor& executor,
           Awaitable<void> task,
           const char* name);

/// The same for a loop that the process can't do without. Were it to end
/// unseen, the process would look alive and follow no news any more; so an
/// exception is logged and ends the process, and the platform starts it again.
void SpawnLoop(const boost::asio::any_io_executor& executor,
               Awaitable<void> loop,
               const char* name);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SPAWN_H_
