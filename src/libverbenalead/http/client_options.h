#ifndef VERBENALEAD_HTTP_CLIENT_OPTIONS_H_
#define VERBENALEAD_HTTP_CLIENT_OPTIONS_H_

#include "base/time.h"

namespace verbenalead::http {

/// How a client manages its connections.
struct ClientOptions {
  /// Keep connections for later requests. The other side may close a kept
  /// connection just before the next request is sent, and then it is unknown
  /// whether that request ran. Set to false where this matters.
  bool m_reuse_connections = true;
  /// Maximum time to establish a connection; zero: up to the deadline of the
  /// request. A host without power doesn't answer at all, so connecting to it
  /// always takes the full time.
  Duration m_connect_timeout{};
  /// Reset a connection that ends before the whole response has been read, also
  /// if the process is killed, in place of closing it. Failure: a request is
  /// given up while a link or the server holds its bytes. Symptom: they arrive
  /// seconds later and are worked on for nobody. A close delivers what the
  /// kernel still has to send; a reset discards it.
  bool m_reset_unfinished = false;

  friend bool operator==(const ClientOptions&, const ClientOptions&) = default;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_CLIENT_OPTIONS_H_
