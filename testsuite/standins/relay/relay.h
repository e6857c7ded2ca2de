#ifndef VERBENALEAD_STANDINS_RELAY_RELAY_H_
#define VERBENALEAD_STANDINS_RELAY_RELAY_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "standins/relay/connection.h"

namespace verbenalead::standins {

/// Forwards TCP connections to one address, and on command behaves like a
/// device between two hosts that has lost track of connections. Belongs to one
/// thread.
class Relay {
 public:
  explicit Relay(Endpoint forward) : m_forward(std::move(forward)) {}

  /// Takes a connection that was just accepted.
  void Take(boost::asio::ip::tcp::socket socket);
  /// Connections of now carry nothing any more, and neither end is told.
  void Silence();
  /// The same for what comes from the far side only.
  void SilenceFar();
  /// Connections of now are closed.
  void Cut();
  /// Each piece of connections made from now on comes this late.
  void Delay(Duration delay) { m_delay = delay; }

 private:
  const Endpoint m_forward;
  Duration m_delay{};
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_RELAY_RELAY_H_
