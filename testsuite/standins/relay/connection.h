#ifndef VERBENALEAD_STANDINS_RELAY_CONNECTION_H_
#define VERBENALEAD_STANDINS_RELAY_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/time.h"

namespace verbenalead::standins {

/// One relayed connection: the socket of the client that connected (near) and
/// the socket to the address that the relay forwards to (far).
struct Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(boost::asio::ip::tcp::socket near)
      : m_client_side(std::move(near)),
        m_server_side(m_client_side.get_executor()) {}

  void Close();

  boost::asio::ip::tcp::socket m_client_side;
  boost::asio::ip::tcp::socket m_server_side;
  Duration m_delay{};
  /// Discards all bytes, and does not close one side when the other side
  /// closes.
  bool m_silent = false;
  /// Discards the bytes that arrive from the far side.
  bool m_far_side_silent = false;
  /// Keeps the bytes of both sides and passes them on when the link is
  /// released, as a partition does that ends. Bytes whose sender has reset the
  /// connection meanwhile are lost.
  bool m_held = false;
};

/// Connects to `forward` and relays bytes in both directions until either side
/// closes.
Awaitable<void> RunConnection(std::shared_ptr<Connection> connection,
                              Endpoint forward);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_RELAY_CONNECTION_H_
