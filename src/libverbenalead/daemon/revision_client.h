#ifndef VERBENALEAD_DAEMON_REVISION_CLIENT_H_
#define VERBENALEAD_DAEMON_REVISION_CLIENT_H_

#include "daemon/config_store.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Client that adds the configuration revision of this process as a header to
/// each request to another daemon. A receiver with an older configuration
/// detects from it that it is behind and fetches the changes.
class RevisionClient : public wire::Client {
 public:
  RevisionClient(wire::Client& client, const ConfigStore& config)
      : m_client(client), m_config(config) {}

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  wire::Client& m_client;
  const ConfigStore& m_config;
};

/// Returns a handler that records the revision header of each request in
/// `config` and passes the request to `handler`.
wire::Handler WithRevision(ConfigStore& config, wire::Handler handler);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_REVISION_CLIENT_H_
