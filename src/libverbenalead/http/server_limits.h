#ifndef VERBENALEAD_HTTP_SERVER_LIMITS_H_
#define VERBENALEAD_HTTP_SERVER_LIMITS_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::http {

/// What one caller may use up.
struct ServerLimits {
  /// Bytes of header; past this 431.
  uint32_t m_max_header = 16 * 1024;
  /// Bytes of body; past this 413.
  uint64_t m_max_body = 4 * 1024 * 1024;
  /// How long a connection may stand idle between or inside requests.
  Duration m_idle = 60s;
  /// How long a request may take to come in, from its first byte.
  Duration m_request = 60s;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_LIMITS_H_
