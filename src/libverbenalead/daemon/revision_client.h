#ifndef VERBENALEAD_DAEMON_REVISION_CLIENT_H_
#define VERBENALEAD_DAEMON_REVISION_CLIENT_H_

#include "daemon/config_keeper.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::daemon {

/// Names our configuration revision on each request to our other processes, so
/// that whoever is behind learns it from the traffic itself.
class RevisionClient : public wire::Client {
 public:
  RevisionClient(wire::Client& client, const ConfigKeeper& config)
      : m_client(client), m_config(config) {}

  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>>
  Open(Endpoint endpoint, wire::Request request, TimePoint deadline) override;

 private:
  wire::Client& m_client;
  const ConfigKeeper& m_config;
};

/// `handler`, which tells `config` of each revision that a request names.
wire::Handler WithRevision(ConfigKeeper& config, wire::Handler handler);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_REVISION_CLIENT_H_
