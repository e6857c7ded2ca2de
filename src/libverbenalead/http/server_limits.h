#ifndef VERBENALEAD_HTTP_SERVER_LIMITS_H_
#define VERBENALEAD_HTTP_SERVER_LIMITS_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::http {

/// Limits on the resources that one caller may use.
struct ServerLimits {
  /// Maximum size of the request header in bytes; a larger one is answered with
  /// 431.
  uint32_t m_max_header = 16 * 1024;
  /// Maximum size of the body in bytes; a larger one is answered with 413.
  uint64_t m_max_body = 4 * 1024 * 1024;
  /// How long a connection may be idle between requests, and how long writing
  /// an answer may make no progress.
  Duration m_idle_timeout = 60s;
  /// How long it may take to receive a request, from its first byte.
  Duration m_request_timeout = 60s;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_LIMITS_H_
