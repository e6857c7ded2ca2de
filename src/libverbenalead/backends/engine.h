#ifndef VERBENALEAD_BACKENDS_ENGINE_H_
#define VERBENALEAD_BACKENDS_ENGINE_H_

#include <string>

#include "base/digest.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// An order to an engine to load the weights of one version.
struct LoadOrder {
  std::string m_model;
  std::string m_version;
  Digest m_digest;
  /// URL on loopback from which the engine reads the weights.
  std::string m_weights_url;
  /// Fencing token. An engine that checks it refuses an order with a lower
  /// token than the highest one that it has received.
  uint64_t m_fencing_token = 0;
};

/// The model that an engine reports as loaded. The digest is empty if no model
/// is loaded.
struct EngineStatus {
  std::string m_model;
  Digest m_digest;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// Client of the inference engine that runs beside a target process and is
/// reached over loopback. Requests use the OpenAI API (`/v1/completions`,
/// `/v1/models`), orders to load weights use `/v1/load`.
class Engine {
 public:
  Engine(wire::Client& client, Endpoint endpoint)
      : m_client(client), m_endpoint(std::move(endpoint)) {}

  /// Orders a load and waits until it ends. After kTimeout or kBroken it is
  /// unknown which version the engine serves; call Status() to find out.
  Awaitable<AsyncResult<EngineStatus>> Load(LoadOrder order,
                                            TimePoint deadline);
  Awaitable<AsyncResult<EngineStatus>> Status(TimePoint deadline);
  /// Opens a connection to the engine, sends nothing on it, and returns when
  /// the connection ends. The operating system closes it as soon as the engine
  /// process ends, so the end is detected at once. Also returns if the engine
  /// closes the connection while it keeps running, or if the connection can't
  /// be made.
  Awaitable<void> WaitForDisconnect();
  /// Forwards a caller's request to the engine.
  Awaitable<AsyncResult<std::unique_ptr<wire::ResponseReader>>> Send(
      wire::Request request,
      TimePoint deadline);

  const Endpoint& endpoint() const { return m_endpoint; }

 private:
  wire::Client& m_client;
  const Endpoint m_endpoint;
};

}  // namespace verbenalead::backends

#endif  // VERBENALEAD_BACKENDS_ENGINE_H_
