#include "standins/relay/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include "base/sleep.h"

namespace verbenalead::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kPieceBytes = 64 * 1024;

Awaitable<void> Pump(std::shared_ptr<Connection> connection,
                     tcp::socket& from,
                     tcp::socket& to) {
  const bool from_far = &from == &connection->m_server_side;
  std::vector<char> piece(kPieceBytes);
  boost::system::error_code error;
  while (!error) {
    const size_t size = co_await from.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (connection->m_delay > Duration::zero())
      co_await Sleep(connection->m_delay);
    if (error || connection->m_silent ||
        (from_far && connection->m_far_side_silent))
      continue;
    co_await asio::async_write(
        to, asio::buffer(piece.data(), size),
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (!connection->m_silent)
    connection->Close();
}

}  // namespace

void Connection::Close() {
  boost::system::error_code ignored;
  m_client_side.close(ignored);
  m_server_side.close(ignored);
}

Awaitable<void> RunConnection(std::shared_ptr<Connection> connection,
                              Endpoint forward) {
  boost::system::error_code error;
  const tcp::endpoint remote(asio::ip::make_address(forward.address()),
                             forward.port());
  co_await connection->m_server_side.async_connect(
      remote, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    connection->Close();
    co_return;
  }
  boost::system::error_code ignored;
  connection->m_client_side.set_option(tcp::no_delay(true), ignored);
  connection->m_server_side.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(
      connection->m_client_side.get_executor(),
      Pump(connection, connection->m_client_side, connection->m_server_side),
      asio::detached);
  co_await Pump(connection, connection->m_server_side,
                connection->m_client_side);
}

}  // namespace verbenalead::standins
