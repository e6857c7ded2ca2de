#ifndef VERBENALEAD_BASE_SPAWN_H_
#define VERBENALEAD_BASE_SPAWN_H_

#include <boost/asio/any_io_executor.hpp>

#include "base/awaitable.h"

namespace verbenalead {

/// Runs `task` detached on `executor`. An exception that escapes from it is
/// logged under `name` and swallowed: the input of one connection or message
/// must not terminate the process.
void Spawn(const boost::asio::any_io_executor& executor,
           Awaitable<void> task,
           const char* name);

/// Like Spawn, but for a loop that the process depends on. An exception is
/// logged and terminates the process, and the platform restarts it. If the loop
/// ended silently instead, the process would appear healthy but would no longer
/// process updates.
void SpawnLoop(const boost::asio::any_io_executor& executor,
               Awaitable<void> loop,
               const char* name);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_SPAWN_H_
