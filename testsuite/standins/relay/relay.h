#ifndef VERBENALEAD_STANDINS_RELAY_RELAY_H_
#define VERBENALEAD_STANDINS_RELAY_RELAY_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "standins/relay/connection.h"

namespace verbenalead::standins {

/// Forwards TCP connections to one address. On command it behaves like a
/// firewall or NAT device that lost its connection state: it drops traffic
/// without closing the connections. Not thread-safe: used from one thread.
class Relay {
 public:
  explicit Relay(Endpoint forward) : m_forward(std::move(forward)) {}

  /// Starts to relay a connection that was just accepted.
  void Accept(boost::asio::ip::tcp::socket socket);
  /// Existing connections carry no more data; neither end sees an error.
  void SilenceAll();
  /// Existing connections carry no more data from the far side.
  void SilenceFarSide();
  /// Closes existing connections.
  void CloseAll();
  /// While `held`, existing and new connections keep all bytes; afterwards they
  /// pass them on.
  void Hold(bool held);
  /// Delays each piece of data of future connections.
  void SetDelay(Duration delay) { m_delay = delay; }

 private:
  const Endpoint m_forward;
  Duration m_delay{};
  bool m_held = false;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_RELAY_RELAY_H_
