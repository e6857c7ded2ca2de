#ifndef VERBENALEAD_DAEMON_FORWARDED_HEADERS_H_
#define VERBENALEAD_DAEMON_FORWARDED_HEADERS_H_

#include "wire/headers.h"

namespace verbenalead::daemon {

/// Returns the header fields of a caller's request that are forwarded to the
/// engine or service: all except hop-by-hop fields and the fields that entries
/// and targets use between themselves.
wire::Headers ForwardedRequestHeaders(const wire::Headers& headers);

/// Returns the header fields of an answer that are forwarded to the caller,
/// selected by the same rule.
wire::Headers ForwardedResponseHeaders(const wire::Headers& headers);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_FORWARDED_HEADERS_H_
