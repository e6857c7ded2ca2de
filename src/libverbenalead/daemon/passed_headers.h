#ifndef VERBENALEAD_DAEMON_PASSED_HEADERS_H_
#define VERBENALEAD_DAEMON_PASSED_HEADERS_H_

#include "wire/headers.h"

namespace verbenalead::daemon {

/// The header fields of a caller's request that reach the engine or service:
/// all but those of its connection and our own.
wire::Headers PassedRequestHeaders(const wire::Headers& headers);

/// The header fields of an answer that reach the caller.
wire::Headers PassedResponseHeaders(const wire::Headers& headers);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_PASSED_HEADERS_H_
