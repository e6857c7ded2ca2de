#ifndef VERBENALEAD_PLATFORM_ORIGIN_CLIENT_H_
#define VERBENALEAD_PLATFORM_ORIGIN_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/digest.h"
#include "base/endpoint.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// Client of the origin of weights. Each byte that the origin sends is paid
/// for, and its answers may be corrupt or truncated, so callers verify digests
/// and avoid fetching a chunk twice.
class OriginClient {
 public:
  explicit OriginClient(wire::Client& http) : m_http(http) {}

  /// Reads the digest of each chunk of a version. Fails with kNotFound if the
  /// origin doesn't have the version, for example because it is too old.
  Awaitable<AsyncResult<std::vector<Digest>>> ReadDigests(Endpoint origin,
                                                          std::string model,
                                                          uint64_t version,
                                                          TimePoint deadline);
  /// Requests a chunk. The caller reads the response, so that it sees the first
  /// sign of an answer and can cancel the rest.
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>> OpenChunk(
      Endpoint origin,
      std::string model,
      uint64_t version,
      uint32_t chunk,
      TimePoint deadline);

 private:
  Awaitable<AsyncResult<std::string>> Get(Endpoint origin,
                                          std::string path,
                                          TimePoint deadline);

  wire::Client& m_http;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ORIGIN_CLIENT_H_
