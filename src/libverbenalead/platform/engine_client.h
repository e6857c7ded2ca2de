#ifndef VERBENALEAD_PLATFORM_ENGINE_CLIENT_H_
#define VERBENALEAD_PLATFORM_ENGINE_CLIENT_H_

#include <string>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "model/engine_report.h"
#include "wire/client.h"

namespace verbenalead::platform {

/// The calls to the engine on the own host. Each has a timeout of its own.
class EngineClient {
 public:
  EngineClient(wire::Client& http, Endpoint endpoint)
      : m_http(http), m_endpoint(std::move(endpoint)) {}

  const Endpoint& endpoint() const { return m_endpoint; }

  Awaitable<AsyncResult<model::EngineReport>> Report();
  /// Stages one chunk of a model's weights; an earlier one is overwritten. The
  /// engine checks nothing.
  Awaitable<AsyncResult<bool>> Stage(std::string model,
                                     uint32_t chunk,
                                     std::string bytes);
  /// Reads a staged chunk back; kNotFound where there is none.
  Awaitable<AsyncResult<std::string>> ReadStaged(std::string model,
                                                 uint32_t chunk);
  /// Orders the engine to load what is staged as `version`. Requests that still
  /// run are broken off. `orders`: how many orders it must have begun so far.
  /// kConflict: the order doesn't fit its state. A timeout leaves open whether
  /// the order was accepted.
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
