#ifndef VERBENALEAD_HTTP_SERVER_H_
#define VERBENALEAD_HTTP_SERVER_H_

#include <memory>

#include "http/server_limits.h"
#include "http/tls_keeper.h"
#include "wire/listener.h"
#include "wire/response_writer.h"

namespace verbenalead::http {

struct ServerState;

/// An HTTP/1.1 server on Beast, over TCP or TLS. A malformed request is
/// answered with a problem document whose outcome is `refused`, and its
/// connection closed; nobody else notices.
class Server {
 public:
  /// With `tls`, each new connection takes the certificate that it holds then.
  Server(IoThreads& threads,
         ServerLimits limits,
         wire::Handler handler,
         std::shared_ptr<const TlsKeeper> tls = nullptr);

  /// Starts listening. Port 0 takes a free one.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint) {
    return m_listener.Listen(endpoint);
  }
  /// Stops accepting, and closes connections on which a next request is waited
  /// for; answers under way are finished.
  void StopAccepting();
  /// Holds for each request that begins from now on.
  void SetLimits(const ServerLimits& limits);
  /// From now on each answer tells its caller to close the connection.
  void Drain();
  /// Requests under way, from their first byte to the last one of the answer.
  int busy() const;

 private:
  std::shared_ptr<ServerState> m_state;
  wire::Listener m_listener;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_H_
