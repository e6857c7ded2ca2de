#ifndef VERBENALEAD_VLCTL_OPERATOR_CLIENT_H_
#define VERBENALEAD_VLCTL_OPERATOR_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/failure.h"
#include "base/time.h"
#include "http/client.h"
#include "wire/request.h"
#include "wire/response.h"

namespace verbenalead::vlctl {

/// Blocking client of the operators' API of one entry. Sends one request at a
/// time.
class OperatorClient {
 public:
  OperatorClient(Endpoint entry, Duration timeout)
      : m_entry(std::move(entry)), m_timeout(timeout) {}

  /// Sends the first token of the file at `path` with each request.
  AsyncResult<bool> UseToken(const std::string& path);
  /// Connects by TLS and trusts the certificates in the PEM file at `path`.
  AsyncResult<bool> UseTls(const std::string& path);

  /// Sends one request and waits for the whole response, for at most the
  /// timeout given to the constructor.
  AsyncResult<wire::Response> Call(const std::string& method,
                                   const std::string& path,
                                   const wire::Headers& headers = {},
                                   const std::string& body = "") const;
  /// Calls `on_line` with each non-empty line of a streamed response, until
  /// `on_line` returns false or the stream ends. Fails if no bytes arrive for
  /// 60 s.
  AsyncResult<bool> StreamLines(
      const std::string& path,
      const std::function<bool(const std::string&)>& on_line) const;

 private:
  void AddAuthorization(wire::Request& request) const;

  Endpoint m_entry;
  Duration m_timeout;
  std::string m_token;
  std::shared_ptr<http::Client> m_client = std::make_shared<http::Client>();
};

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_OPERATOR_CLIENT_H_
