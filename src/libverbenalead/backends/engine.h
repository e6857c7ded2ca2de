#ifndef VERBENALEAD_BACKENDS_ENGINE_H_
#define VERBENALEAD_BACKENDS_ENGINE_H_

#include <string>

#include "base/digest.h"
#include "wire/client.h"

namespace verbenalead::backends {

/// An order to an engine to load one version's weights.
struct LoadOrder {
  std::string m_model;
  std::string m_version;
  Digest m_digest;
  /// Where on loopback the engine reads the weights from.
  std::string m_weights_url;
  /// Engines that check it refuse an order with a lower one than they know.
  uint64_t m_fence = 0;
};

/// What an engine says that it serves; an empty digest: nothing.
struct EngineStatus {
  std::string m_model;
  Digest m_digest;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// The engine beside a target process, reached over loopback: the OpenAI API
/// for requests (`/v1/completions`, `/v1/models`) and `/v1/load` for orders.
class Engine {
 public:
  Engine(wire::Client& client, Endpoint endpoint)
      : m_client(client), m_endpoint(std::move(endpoint)) {}

  /// Orders a load and waits for its end. kTimeout and kBroken leave open what
  /// the engine serves: ask Status().
  Awaitable<AsyncResult<EngineStatus>> Load(LoadOrder order,
                                            TimePoint deadline);
  Awaitable<AsyncResult<EngineStatus>> Status(TimePoint deadline);
  /// Returns when the engine process ends, told by the system as soon as it
  /// closes an idle connection kept for this; also when the engine closes that
  /// connection for reasons of its own, or can't be connected to.
  Awaitable<void> WaitWhileConnected();
  /// Sends a caller's request on.
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
