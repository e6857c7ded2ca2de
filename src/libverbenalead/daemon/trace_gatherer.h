#ifndef VERBENALEAD_DAEMON_TRACE_GATHERER_H_
#define VERBENALEAD_DAEMON_TRACE_GATHERER_H_

#include <string>
#include <vector>

#include "backends/object_store.h"
#include "daemon/journal.h"
#include "model/host.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// Writes what the journal of `host` has gathered to the object store each
/// second, so that a trace outlives the process. Runs until the process ends.
Awaitable<void> FlushJournal(Journal& journal,
                             backends::ObjectStore& store,
                             std::string host);

/// The lines of `request` from this process and from all of `hosts`, in order
/// of time. Hosts that don't answer are named in a line of their own, so that
/// a gap is never taken for "nothing happened there". Where no process knows
/// the outcome, recent segments of all entries are searched: theirs may have
/// died or been replaced. `store` may be null.
Awaitable<std::vector<std::string>> GatherTrace(std::string request,
                                                const Journal& journal,
                                                wire::Client& peers,
                                                backends::ObjectStore* store,
                                                std::vector<model::Host> hosts);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TRACE_GATHERER_H_
