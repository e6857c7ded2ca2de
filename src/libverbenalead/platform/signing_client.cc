#include "platform/signing_client.h"

#include "platform/request_signature.h"

namespace verbenalead::platform {

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

}  // namespace verbenalead::platform
