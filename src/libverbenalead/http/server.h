#ifndef VERBENALEAD_HTTP_SERVER_H_
#define VERBENALEAD_HTTP_SERVER_H_

#include <memory>

#include "http/reloadable_tls_context.h"
#include "http/server_limits.h"
#include "wire/listener.h"
#include "wire/response_writer.h"

namespace verbenalead::http {

struct ServerState;

/// An HTTP/1.1 server based on Beast, over TCP or TLS. A malformed request is
/// answered with a problem document whose outcome is `refused`, and its
/// connection is closed; other connections are not affected.
class Server {
 public:
  /// With `tls`, each new connection uses the certificate that is current when
  /// it is accepted.
  Server(IoThreads& threads,
         ServerLimits limits,
         wire::Handler handler,
         std::shared_ptr<const ReloadableTlsContext> tls = nullptr);

  /// Starts listening. Port 0: any free port.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint) {
    return m_listener.Listen(endpoint);
  }
  /// Stops accepting and closes connections that wait for a next request.
  /// Answers in progress are completed.
  void StopAccepting();
  /// Applies to each request that begins from now on.
  void SetLimits(const ServerLimits& limits);
  /// From now on each answer announces that the connection will be closed.
  void Drain();
  /// Number of requests in progress, from their first byte to the last byte of
  /// the answer.
  int requests_in_progress() const;

 private:
  std::shared_ptr<ServerState> m_state;
  wire::Listener m_listener;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_H_
