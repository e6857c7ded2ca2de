#ifndef VERBENALEAD_HTTP_CLIENT_OPTIONS_H_
#define VERBENALEAD_HTTP_CLIENT_OPTIONS_H_

#include "base/time.h"

namespace verbenalead::http {

/// How a client treats its connections.
struct ClientOptions {
  /// Keep connections for later requests. A kept one may have been closed by
  /// the far side just before the next request goes out, and then nobody knows
  /// whether that request ran; where that matters, don't keep them.
  bool m_keep = true;
  /// Longest time for a connection to be made; zero: up to the deadline of the
  /// request. A host without power answers nothing at all.
  Duration m_connect_timeout{};

  friend bool operator==(const ClientOptions&, const ClientOptions&) = default;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_CLIENT_OPTIONS_H_
