#ifndef VERBENALEAD_HTTP_CLIENT_H_
#define VERBENALEAD_HTTP_CLIENT_H_

#include <memory>
#include <string>

#include "http/client_options.h"
#include "wire/client.h"

namespace boost::asio::ssl {
class context;
}

namespace verbenalead::http {

/// An HTTP/1.1 client based on Beast. It keeps idle connections for the next
/// request to the same endpoint, in a separate pool for each thread, so that no
/// connection is used by two threads.
class Client : public wire::Client {
 public:
  Client() = default;
  explicit Client(ClientOptions options) : m_options(options) {}

  /// Uses TLS from now on. The certificate of a server must contain the
  /// server's IP address and be signed by a certificate in `ca_file` (PEM).
  /// Connections are not kept with TLS. Must be called before the first
  /// request.
  AsyncResult<bool> UseTls(const std::string& ca_file);

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  ClientOptions m_options;
  std::shared_ptr<boost::asio::ssl::context> m_tls;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_CLIENT_H_
