#ifndef VERBENALEAD_BACKENDS_HOST_LIST_H_
#define VERBENALEAD_BACKENDS_HOST_LIST_H_

#include <string>
#include <vector>

#include "model/host.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// The platform's list of live and leaving hosts, in the format of Prometheus
/// HTTP service discovery at /hosts. It lags behind reality.
class HostList {
 public:
  HostList(wire::Client& client, Endpoint endpoint, Duration timeout)
      : m_client(client), m_endpoint(std::move(endpoint)), m_timeout(timeout) {}

  /// Where the platform names an entity tag, an unchanged list is not sent
  /// again: 2,330 hosts make half a megabyte, which each daemon asks for once a
  /// second. Used by one coroutine at a time.
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
