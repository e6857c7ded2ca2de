#ifndef VERBENALEAD_DAEMON_TRACE_COLLECTOR_H_
#define VERBENALEAD_DAEMON_TRACE_COLLECTOR_H_

#include <string>
#include <vector>

#include "backends/object_store.h"
#include "daemon/journal.h"
#include "model/host.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Writes the lines that `journal` has buffered since the last write to the
/// object store, as a segment of `host`, each second. So the trace of a request
/// stays available after the process has ended. Runs until the process ends.
Awaitable<void> FlushJournal(Journal& journal,
                             backends::ObjectStore& store,
                             std::string host);

/// Returns the journal lines of `request` from this process and from all
/// `hosts`, in order of time. A host that doesn't answer is named in a line of
/// its own, so that its missing lines aren't taken for inactivity. If no
/// process has a line with the outcome, the recent segments of all entries in
/// `hosts` are searched, since the entry of the request may have crashed or
/// been replaced. `store` may be null; segments are not searched then.
Awaitable<std::vector<std::string>> CollectTrace(
    std::string request,
    const Journal& journal,
    wire::Client& peers,
    backends::ObjectStore* store,
    std::vector<model::Host> hosts);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TRACE_COLLECTOR_H_
