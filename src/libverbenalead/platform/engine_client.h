#ifndef VERBENALEAD_PLATFORM_ENGINE_CLIENT_H_
#define VERBENALEAD_PLATFORM_ENGINE_CLIENT_H_

#include <string>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "model/engine_report.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// Client of the engine on the same host. Each call has a timeout of its own.
class EngineClient {
 public:
  EngineClient(wire::Client& http, Endpoint endpoint)
      : m_http(http), m_endpoint(std::move(endpoint)) {}

  const Endpoint& endpoint() const { return m_endpoint; }

  Awaitable<AsyncResult<model::EngineReport>> Report();
  /// Stages one chunk of a model's weights and overwrites an earlier one with
  /// this number. The engine doesn't verify the bytes.
  Awaitable<AsyncResult<bool>> Stage(std::string model,
                                     uint32_t chunk,
                                     std::string bytes);
  /// Reads a staged chunk; fails with kNotFound if there is none.
  Awaitable<AsyncResult<std::string>> ReadStaged(std::string model,
                                                 uint32_t chunk);
  /// Orders the engine to load the staged chunks as `version`. The engine
  /// aborts requests that still run. `orders` is the number of orders that the
  /// engine must have begun so far; an engine that has begun another number
  /// rejects the order. False: the engine has that version already, so the
  /// order had no effect. Fails with kConflict if the order doesn't fit the
  /// engine's state. After a timeout, the order may or may not have been
  /// accepted.
  Awaitable<AsyncResult<bool>> Load(std::string model,
                                    uint64_t version,
                                    uint64_t orders);

 private:
  Awaitable<AsyncResult<wire::Response>> Call(wire::Request request);

  wire::Client& m_http;
  const Endpoint m_endpoint;
};

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_ENGINE_CLIENT_H_
