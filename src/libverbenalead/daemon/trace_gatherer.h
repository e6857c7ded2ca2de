#ifndef VERBENALEAD_DAEMON_TRACE_GATHERER_H_
#define VERBENALEAD_DAEMON_TRACE_GATHERER_H_

#include <string>
#include <vector>

#include "daemon/journal.h"
#include "model/host.h"
#include "wire/client.h"

namespace verbenalead::daemon {

/// The lines of `request` from this process and from all of `hosts`, in order
/// of time. Hosts that don't answer are named in a line of their own, so that
/// a gap is never taken for "nothing happened there".
Awaitable<std::vector<std::string>> GatherTrace(std::string request,
                                                const Journal& journal,
                                                wire::Client& peers,
                                                std::vector<model::Host> hosts);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TRACE_GATHERER_H_
