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

/// An HTTP/1.1 client on Beast. It keeps idle connections for the next request
/// to the same endpoint, a set for each thread, so that no connection is ever
/// touched by two.
class Client : public wire::Client {
 public:
  Client() = default;
  explicit Client(ClientOptions options) : m_options(options) {}

  /// Speaks TLS from now on, to far sides whose certificate names their IP
  /// number and was signed by one in `ca_file` (PEM); connections are not kept
  /// then. To be called before the first request.
  AsyncResult<bool> UseTls(const std::string& ca_file);

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  ClientOptions m_options;
  std::shared_ptr<boost::asio::ssl::context> m_tls;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_CLIENT_H_
