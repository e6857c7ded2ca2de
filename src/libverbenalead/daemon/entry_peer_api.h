#ifndef VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
#define VERBENALEAD_DAEMON_ENTRY_PEER_API_H_

#include "daemon/config_keeper.h"
#include "daemon/journal.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// What an entry answers to our other processes:
///
///     GET /v1/config?after=REVISION   changes, or the whole state if too old
///     GET /v1/trace/REQUEST           this process's lines
wire::Handler MakeEntryPeerApi(ConfigKeeper& config, Journal& journal);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_ENTRY_PEER_API_H_
