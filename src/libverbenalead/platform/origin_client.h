#ifndef VERBENALEAD_PLATFORM_ORIGIN_CLIENT_H_
#define VERBENALEAD_PLATFORM_ORIGIN_CLIENT_H_

#include <string>
#include <vector>

#include "base/awaitable.h"
#include "base/digest.h"
#include "base/endpoint.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// The calls to the origin of weights. All that it sends is paid for and may be
/// wrong or cut off.
class OriginClient {
 public:
  explicit OriginClient(wire::Client& http) : m_http(http) {}

  /// The digest of each chunk. kNotFound: the version is too old to be had.
  Awaitable<AsyncResult<std::vector<Digest>>> ReadDigests(Endpoint origin,
                                                          std::string model,
                                                          uint64_t version,
                                                          TimePoint deadline);
  Awaitable<AsyncResult<std::string>> ReadChunk(Endpoint origin,
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
