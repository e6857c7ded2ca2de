#ifndef VERBENALEAD_BACKENDS_ORIGIN_H_
#define VERBENALEAD_BACKENDS_ORIGIN_H_

#include <string>

#include "wire/client.h"

namespace verbenalead::backends {

/// Client of the origin from which weights are fetched, by HTTP GET with byte
/// ranges. The link to the origin is shared and paid for, so callers must count
/// every byte that they fetch.
class Origin {
 public:
  Origin(wire::Client& client, Endpoint endpoint, Duration timeout)
      : m_client(client), m_endpoint(std::move(endpoint)), m_timeout(timeout) {}

  /// Fetches the whole object at `path`. Fails with kInvalid if it is longer
  /// than `max_bytes`.
  Awaitable<AsyncResult<std::string>> Get(std::string path, size_t max_bytes);
  /// Fetches `length` bytes of `path` from `offset`. Fails with kRefused and
  /// the reason "busy" if the origin limits its rate (status 429 or 503).
  Awaitable<AsyncResult<std::string>> GetRange(std::string path,
                                               uint64_t offset,
                                               uint64_t length);

 private:
  wire::Client& m_client;
  const Endpoint m_endpoint;
  const Duration m_timeout;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_ORIGIN_H_
