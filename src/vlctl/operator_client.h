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

/// Asks one entry's operators' API, one request at a time.
class OperatorClient {
 public:
  OperatorClient(Endpoint entry, Duration timeout)
      : m_entry(std::move(entry)), m_timeout(timeout) {}

  /// Shows the first token in `path` with each request.
  AsyncResult<bool> UseToken(const std::string& path);
  /// Speaks TLS, and trusts the certificates in `path`.
  AsyncResult<bool> UseTls(const std::string& path);

  AsyncResult<wire::Response> Call(const std::string& method,
                                   const std::string& path,
                                   const wire::Headers& headers = {},
                                   const std::string& body = "") const;
  /// Hands each line of a streamed answer to `on_line` until that returns
  /// false or the stream ends.
  AsyncResult<bool> Follow(
      const std::string& path,
      const std::function<bool(const std::string&)>& on_line) const;

 private:
  void AddToken(wire::Request& request) const;

  Endpoint m_entry;
  Duration m_timeout;
  std::string m_token;
  std::shared_ptr<http::Client> m_client = std::make_shared<http::Client>();
};

}  // namespace verbenalead::vlctl

#endif  // VERBENALEAD_VLCTL_OPERATOR_CLIENT_H_
