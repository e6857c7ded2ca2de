#ifndef VERBENALEAD_STANDINS_RELAY_CONNECTION_H_
#define VERBENALEAD_STANDINS_RELAY_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "base/time.h"

namespace verbenalead::standins {

/// One relayed connection: the caller's side and the side of the far end.
struct Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(boost::asio::ip::tcp::socket near)
      : m_near(std::move(near)), m_far(m_near.get_executor()) {}

  void Close();

  boost::asio::ip::tcp::socket m_near;
  boost::asio::ip::tcp::socket m_far;
  Duration m_delay{};
  /// Bytes are taken in and thrown away, and an end of one side is kept from
  /// the other.
  bool m_silent = false;
  /// The same, but only for what the far side sends.
  bool m_far_silent = false;
};

/// Connects to `forward` and passes on bytes both ways until either side ends.
Awaitable<void> RunConnection(std::shared_ptr<Connection> connection,
                              Endpoint forward);

}  // namespace verbenalead::standins

#endif  // VERBENALEAD_STANDINS_RELAY_CONNECTION_H_
