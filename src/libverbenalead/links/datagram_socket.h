#ifndef VERBENALEAD_LINKS_DATAGRAM_SOCKET_H_
#define VERBENALEAD_LINKS_DATAGRAM_SOCKET_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "base/awaitable.h"
#include "base/endpoint.h"
#include "links/message.h"

namespace verbenalead::links {

/// Sends and receives messages over UDP. Sending never blocks: a datagram that
/// the socket can't send at once is dropped. Messages carry whole states, so
/// the next message makes up for a dropped one.
class DatagramSocket {
 public:
  /// Binds to `endpoint`; throws if that fails.
  DatagramSocket(const boost::asio::any_io_executor& executor,
                 const Endpoint& endpoint);
  ~DatagramSocket();

  void Send(const Endpoint& to, const Message& message);
  /// Calls `on_message` with the sender of each received message and the
  /// message. Runs until the socket's operations are cancelled. A datagram that
  /// can't be decoded is logged and dropped.
  Awaitable<void> Receive(
      std::function<void(const Endpoint&, const Message&)> on_message);

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DATAGRAM_SOCKET_H_
