#ifndef VERBENALEAD_HTTP_SERVER_H_
#define VERBENALEAD_HTTP_SERVER_H_

#include <cstdint>

#include "base/time.h"
#include "wire/listener.h"
#include "wire/response_writer.h"

namespace verbenalead::http {

/// What one caller may use up.
struct ServerLimits {
  /// Bytes of header; past this 431.
  uint32_t m_max_header = 16 * 1024;
  /// Bytes of body; past this 413.
  uint64_t m_max_body = 4 * 1024 * 1024;
  /// How long a connection may stand idle between or inside requests.
  Duration m_idle = 60s;
};

/// An HTTP/1.1 server on Beast. A malformed request is answered with a problem
/// document whose outcome is `refused`, and its connection closed; nobody else
/// notices.
class Server {
 public:
  Server(IoThreads& threads, ServerLimits limits, wire::Handler handler);

  /// Starts listening. Port 0 takes a free one.
  AsyncResult<Endpoint> Listen(const Endpoint& endpoint) {
    return m_listener.Listen(endpoint);
  }
  /// Stops accepting; answers under way are finished.
  void StopAccepting() { m_listener.Stop(); }

 private:
  wire::Listener m_listener;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_H_
