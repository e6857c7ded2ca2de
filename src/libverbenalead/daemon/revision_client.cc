#include "daemon/revision_client.h"

#include <cstdlib>

#include "peer/header_names.h"

namespace verbenalead::daemon {

Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
RevisionClient::Open(Endpoint endpoint,
                     wire::Request request,
                     TimePoint deadline) {
  request.m_headers[peer::kRevision] =
      std::to_string(m_config.current()->m_revision);
  return m_client.Open(std::move(endpoint), std::move(request), deadline);
}

wire::Handler WithRevision(ConfigStore& config, wire::Handler handler) {
  return [&config, handler = std::move(handler)](const wire::Request& request,
                                                 wire::ResponseWriter& writer) {
    const std::string text = wire::Get(request.m_headers, peer::kRevision);
    if (!text.empty())
      config.RecordObservedRevision(std::strtoull(text.c_str(), nullptr, 10));
    return handler(request, writer);
  };
}

}  // namespace verbenalead::daemon
