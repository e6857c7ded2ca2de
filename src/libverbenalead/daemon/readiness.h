#ifndef VERBENALEAD_DAEMON_READINESS_H_
#define VERBENALEAD_DAEMON_READINESS_H_

#include <functional>

#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// `handler`, but while `ready` returns false new work is refused as not run:
/// a process that has not learned the newest configuration, or has lost touch
/// with table and peers, could serve a version that was replaced long ago.
/// What asks about the process itself is still answered.
wire::Handler WithReadiness(std::function<bool()> ready, wire::Handler handler);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_READINESS_H_
