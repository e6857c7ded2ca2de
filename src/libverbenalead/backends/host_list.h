#ifndef VERBENALEAD_BACKENDS_HOST_LIST_H_
#define VERBENALEAD_BACKENDS_HOST_LIST_H_

#include <string>
#include <vector>

#include "model/host.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// Client of the platform's list of live and leaving hosts, which is served at
/// /hosts in the format of Prometheus HTTP service discovery. The list lags
/// behind the actual state of the hosts.
class HostList {
 public:
  HostList(wire::Client& client, Endpoint endpoint, Duration timeout)
      : m_client(client), m_endpoint(std::move(endpoint)), m_timeout(timeout) {}

  /// Returns the current list. If the platform sends an entity tag, an
  /// unchanged list is not transferred again: 2,330 hosts make half a megabyte,
  /// which each daemon requests once a second. Must not be called by several
  /// coroutines at once.
  Awaitable<AsyncResult<std::vector<model::Host>>> Get();

 private:
  wire::Client& m_client;
  const Endpoint m_endpoint;
  const Duration m_timeout;
  std::string m_etag;
  std::vector<model::Host> m_hosts;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_HOST_LIST_H_
