#ifndef VERBENALEAD_DAEMON_READINESS_H_
#define VERBENALEAD_DAEMON_READINESS_H_

#include <functional>

#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Returns a handler that refuses new work, as not run, while `ready` returns
/// false, and passes all other requests to `handler`. A process that has not
/// fetched the newest configuration, or has lost contact with the table and its
/// peers, could serve a version that was replaced long ago. Requests about the
/// process itself, such as its status, are still answered.
wire::Handler WithReadiness(std::function<bool()> ready, wire::Handler handler);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_READINESS_H_
