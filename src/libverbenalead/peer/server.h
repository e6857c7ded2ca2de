#ifndef VERBENALEAD_PEER_SERVER_H_
#define VERBENALEAD_PEER_SERVER_H_

#include "peer/session.h"
#include "wire/listener.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// Accepts HTTP/2 connections from other processes of this system.
class Server {
 public:
  Server(IoThreads& threads, SessionLimits limits, wire::Handler handler);

  /// Starts listening. Port 0: any free port.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint) {
    return m_listener.Listen(endpoint);
  }
  void StopAccepting() { m_listener.Stop(); }

 private:
  wire::Listener m_listener;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SERVER_H_
