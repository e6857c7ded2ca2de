#ifndef VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_
#define VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "daemon/config_store.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Returns, as JSON, the changes that a process with `revision` in force lacks,
/// or the whole state if `store` no longer has all of these changes in memory.
std::string SerialiseConfigAfter(const ConfigStore& store, uint64_t revision);

/// Parses a message that SerialiseConfigAfter() wrote and applies it to
/// `store`.
Result<void> ApplyConfig(ConfigStore& store, std::string_view json);

/// Fetches the changes that `store` lacks from the process at `endpoint` and
/// applies them. While there are none, that process may delay its answer by up
/// to `hold` (long polling). Fails with kRefused if that process has not yet
/// fetched the newest configuration itself, or has lost contact with the table
/// and its peers. Returns whether the answer is known to match a recent read of
/// the table; with a `hold` of zero the process reads the table to ensure that.
Awaitable<AsyncResult<bool>> FetchConfig(ConfigStore& store,
                                         wire::Client& peers,
                                         Endpoint endpoint,
                                         Duration hold,
                                         Duration timeout);

/// Sends the configuration of `store` to the process at `endpoint`. Succeeds
/// when that process has confirmed that it holds `revision`.
Awaitable<AsyncResult<bool>> PushConfig(const ConfigStore& store,
                                        wire::Client& peers,
                                        Endpoint endpoint,
                                        uint64_t revision,
                                        TimePoint deadline);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CONFIG_MESSAGES_H_
