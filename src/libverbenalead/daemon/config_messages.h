#ifndef VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_
#define VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "daemon/config_keeper.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// What a process that stands at `revision` is sent: the changes it lacks, or
/// the whole state where those are no longer remembered. JSON.
std::string ConfigSince(const ConfigKeeper& keeper, uint64_t revision);

/// Takes in what ConfigSince wrote.
Result<void> TakeConfig(ConfigKeeper& keeper, std::string_view json);

/// Asks the process at `endpoint` for what is new. It may hold its answer back
/// for `hold` while there is nothing. Fails with kRefused where the process
/// has itself not learned the newest configuration, or is cut off. Returns
/// whether the answer is what the table held a moment ago; with no `hold` the
/// asked process reads it for that.
Awaitable<AsyncResult<bool>> FetchConfig(ConfigKeeper& keeper,
                                         wire::Client& peers,
                                         Endpoint endpoint,
                                         Duration hold,
                                         Duration timeout);

/// Hands `keeper`'s configuration to the process at `endpoint` until it holds
/// `revision`.
Awaitable<AsyncResult<bool>> PushConfig(const ConfigKeeper& keeper,
                                        wire::Client& peers,
                                        Endpoint endpoint,
                                        uint64_t revision,
                                        TimePoint deadline);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_
