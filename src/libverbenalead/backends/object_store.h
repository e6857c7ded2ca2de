#ifndef VERBENALEAD_BACKENDS_OBJECT_STORE_H_
#define VERBENALEAD_BACKENDS_OBJECT_STORE_H_

#include <string>
#include <vector>

#include "wire/client.h"

namespace verbenalead::backends {

/// Client of the platform's object store over the S3 REST protocol: PUT and GET
/// of whole objects and ListObjectsV2 in one bucket.
class ObjectStore {
 public:
  ObjectStore(wire::Client& client,
              Endpoint endpoint,
              std::string bucket,
              Duration timeout)
      : m_client(client),
        m_endpoint(std::move(endpoint)),
        m_bucket(std::move(bucket)),
        m_timeout(timeout) {}

  Awaitable<AsyncResult<bool>> Put(std::string key, std::string bytes);
  Awaitable<AsyncResult<std::string>> Get(std::string key);
  /// Returns the keys that start with `prefix` and sort after `start_after`, in
  /// order, at most 1,000.
  Awaitable<AsyncResult<std::vector<std::string>>> List(
      std::string prefix,
      std::string start_after = "");

 private:
  wire::Client& m_client;
  const Endpoint m_endpoint;
  const std::string m_bucket;
  const Duration m_timeout;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_OBJECT_STORE_H_
