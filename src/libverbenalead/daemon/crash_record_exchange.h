#ifndef VERBENALEAD_DAEMON_CRASH_RECORD_EXCHANGE_H_
#define VERBENALEAD_DAEMON_CRASH_RECORD_EXCHANGE_H_

#include <string>
#include <vector>

#include "daemon/host_directory.h"
#include "daemon/locked_quarantine.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Returns the JSON form of crash records. Times are sent as ages, since the
/// clocks of hosts differ.
std::string ToJson(const std::vector<decide::CrashRecord>& records,
                   TimePoint now);
Result<std::vector<decide::CrashRecord>> ParseCrashRecords(
    std::string_view json,
    TimePoint now);

/// Returns a handler that serves POST /v1/crash-notes, by which another entry
/// reports the requests under which targets crashed, and passes all other
/// requests to `handler`.
wire::Handler WithCrashRecords(LockedQuarantine& quarantine,
                               wire::Handler handler);

/// Sends each new crash record of this entry to all other entries, and retries
/// for entries that did not answer. Runs until the process ends.
///
/// Guards against a request that crashes each target that runs it and whose
/// caller retries it through other entries: without the exchange each of 8
/// entries would let the request crash two targets. Crash records are rare, so
/// each one is sent to every entry.
Awaitable<void> SendCrashRecords(LockedQuarantine& quarantine,
                                 HostDirectory& hosts,
                                 wire::Client& peers,
                                 std::string self);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_CRASH_RECORD_EXCHANGE_H_
