#ifndef VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
#define VERBENALEAD_DAEMON_ENTRY_PEER_API_H_

#include <functional>

#include "daemon/config_keeper.h"
#include "daemon/journal.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// What the entry's API for our other processes asks of its daemon.
struct EntryPeerContext {
  ConfigKeeper* m_config = nullptr;
  Journal* m_journal = nullptr;
  /// Whether the configuration here is the newest as far as one can know.
  std::function<bool()> m_ready;
};

/// What an entry answers to our other processes:
///
///     GET  /v1/config?after=REVISION&hold_ms=N   changes, or the whole state
///     if
///                                     too old; held back while there are none
///     POST /v1/config                 takes changes; answers the revision held
///     GET  /v1/trace/REQUEST          this process's lines
wire::Handler MakeEntryPeerApi(EntryPeerContext context);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
