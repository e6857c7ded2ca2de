#include "links/datagram_socket.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/catch_failure.h"
#include "base/log.h"

namespace verbenalead::links {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/// Largest payload of a UDP datagram over IPv4.
constexpr size_t kMaxDatagramBytes = 65507;

udp::endpoint ToUdpEndpoint(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address()), endpoint.port()};
}

}  // namespace

struct DatagramSocket::State {
  explicit State(udp::socket socket) : m_socket(std::move(socket)) {
    m_socket.non_blocking(true);
  }

  udp::socket m_socket;
};

DatagramSocket::DatagramSocket(const asio::any_io_executor& executor,
                               const Endpoint& endpoint)
    : m_state(std::make_unique<State>(
          udp::socket(executor, ToUdpEndpoint(endpoint)))) {}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::Send(const Endpoint& to, const Message& message) {
  boost::system::error_code error;
  m_state->m_socket.send_to(asio::buffer(EncodeMessage(message)),
                            ToUdpEndpoint(to), 0, error);
  if (error && error != asio::error::would_block) {
    LogLine("datagram_not_sent")
        .With("peer", ToString(to))
        .With("reason", error.message())
        .Debug();
  }
}

Awaitable<void> DatagramSocket::Receive(
    std::function<void(const Endpoint&, const Message&)> on_message) {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (true) {
    udp::endpoint from;
    boost::system::error_code error;
    const size_t size = co_await m_state->m_socket.async_receive_from(
        asio::buffer(buffer), from,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted)
      co_return;
    // The error is about an earlier datagram that this socket sent to a port on
    // which no process listens. The socket itself still works.
    if (error)
      continue;
    const Endpoint sender(from.address().to_string(), from.port());
    auto message = CatchFailure([&] {
      return DecodeMessage(std::string_view(buffer).substr(0, size));
    });
    if (!message) {
      LogLine("bad_datagram")
          .With("peer", ToString(sender))
          .With(message.error())
          .Warn();
      continue;
    }
    on_message(sender, *message);
  }
}

}  // namespace verbenalead::links
