#include "backends/signing_client.h"

#include "backends/request_signature.h"

namespace verbenalead::backends {

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
SigningClient::Open(Endpoint endpoint,
                    wire::Request request,
                    TimePoint deadline) {
  if (m_key) {
    SignRequest(*m_key, m_service, ToString(endpoint),
                std::chrono::system_clock::now(), request);
  }
  return m_client.Open(std::move(endpoint), std::move(request), deadline);
}

}  // namespace verbenalead::backends
