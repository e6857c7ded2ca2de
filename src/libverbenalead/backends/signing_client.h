#ifndef VERBENALEAD_BACKENDS_SIGNING_CLIENT_H_
#define VERBENALEAD_BACKENDS_SIGNING_CLIENT_H_

#include <optional>
#include <string>

#include "backends/signing_key.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// Signs each request to one of the platform's services and passes it to
/// another client. Without a key, requests are sent unsigned.
class SigningClient : public wire::Client {
 public:
  SigningClient(wire::Client& client,
                std::optional<SigningKey> key,
                std::string service)
      : m_client(client),
        m_key(std::move(key)),
        m_service(std::move(service)) {}

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  wire::Client& m_client;
  const std::optional<SigningKey> m_key;
  const std::string m_service;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_SIGNING_CLIENT_H_
