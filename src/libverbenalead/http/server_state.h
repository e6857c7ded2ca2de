#ifndef VERBENALEAD_HTTP_SERVER_STATE_H_
#define VERBENALEAD_HTTP_SERVER_STATE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "http/reloadable_tls_context.h"
#include "http/server_connections.h"
#include "http/server_limits.h"
#include "wire/response_writer.h"

namespace verbenalead::http {

/// State shared by the connections of one server.
struct ServerState {
  ServerState(ServerLimits limits,
              wire::Handler handler,
              std::shared_ptr<const ReloadableTlsContext> tls)
      : m_handler(std::move(handler)),
        m_tls(std::move(tls)),
        m_limits(limits) {}

  ServerLimits limits() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_limits;
  }
  void SetLimits(const ServerLimits& limits) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_limits = limits;
  }

  const wire::Handler m_handler;
  /// Null for plain TCP.
  const std::shared_ptr<const ReloadableTlsContext> m_tls;
  ServerConnections m_connections;
  std::atomic<bool> m_draining{false};
  /// Number of requests of which a byte has been read and whose answer is not
  /// completely written.
  std::atomic<int> m_requests_in_progress{0};

 private:
  mutable std::mutex m_mutex;
  ServerLimits m_limits;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_STATE_H_
