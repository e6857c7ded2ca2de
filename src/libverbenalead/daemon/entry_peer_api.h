#ifndef VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
#define VERBENALEAD_DAEMON_ENTRY_PEER_API_H_

#include <functional>

#include "daemon/config_store.h"
#include "daemon/journal.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Parts of the entry daemon that its API for the other daemons uses.
struct EntryPeerContext {
  ConfigStore* m_config = nullptr;
  Journal* m_journal = nullptr;
  /// Whether other processes may rely on the configuration of this one: see
  /// ConfigFollower::ready().
  std::function<bool()> m_ready;
};

/// Returns the handler of the requests that other daemons send to an entry:
///
///     GET  /v1/config?after=REVISION&hold_ms=N
///         Returns the changes after REVISION, or the whole state if these are
///         no longer in memory. While there are none, the answer is delayed by
///         up to N milliseconds. With fresh=1 the table is read first, unless
///         it was read a moment ago.
///     POST /v1/config
///         Applies the changes in the body; returns the revision in force.
///     GET  /v1/trace/REQUEST
///         Returns the journal lines of this process for the request.
wire::Handler MakeEntryPeerApi(EntryPeerContext context);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
