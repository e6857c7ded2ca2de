#include "standins/relay/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/sleep.h"

namespace verbenalead::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kPieceBytes = 64 * 1024;
/// How often a held connection checks whether it has been released.
constexpr Duration kHoldCheck = 2ms;

/// The bytes of one direction that a held connection keeps.
struct HeldBytes {
  std::string m_bytes;
  /// They are kept or being written; later bytes must be queued behind them.
  bool m_active = false;
};

/// Passes held bytes on once the connection is released.
Awaitable<void> PassOnHeld(std::shared_ptr<Connection> connection,
                           std::shared_ptr<HeldBytes> held,
                           tcp::socket& to) {
  boost::system::error_code error;
  while (!error && !held->m_bytes.empty()) {
    while (connection->m_held)
      co_await Sleep(kHoldCheck);
    const std::string bytes = std::exchange(held->m_bytes, {});
    co_await asio::async_write(
        to, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, error));
  }
  held->m_active = false;
}

void Hold(std::shared_ptr<Connection> connection,
          std::shared_ptr<HeldBytes> held,
          tcp::socket& to,
          std::string_view bytes) {
  held->m_bytes += bytes;
  if (std::exchange(held->m_active, true))
    return;
  asio::co_spawn(to.get_executor(), PassOnHeld(connection, held, to),
                 asio::detached);
}

/// Called when the sender has ended the connection with `error`. A reset
/// discards what is held; after a close the rest is still delivered.
Awaitable<void> EndHeld(std::shared_ptr<HeldBytes> held,
                        boost::system::error_code error) {
  if (error != asio::error::eof)
    held->m_bytes.clear();
  while (held->m_active && !held->m_bytes.empty())
    co_await Sleep(kHoldCheck);
}

Awaitable<void> Pump(std::shared_ptr<Connection> connection,
                     tcp::socket& from,
                     tcp::socket& to) {
  const bool from_far = &from == &connection->m_server_side;
  std::vector<char> piece(kPieceBytes);
  const auto held = std::make_shared<HeldBytes>();
  boost::system::error_code error;
  while (!error) {
    const size_t size = co_await from.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (connection->m_delay > Duration::zero())
      co_await Sleep(connection->m_delay);
    if (error || connection->m_silent ||
        (from_far && connection->m_far_side_silent))
      continue;
    if (connection->m_held || held->m_active) {
      Hold(connection, held, to, std::string_view(piece.data(), size));
      continue;
    }
    co_await asio::async_write(
        to, asio::buffer(piece.data(), size),
        asio::redirect_error(asio::use_awaitable, error));
  }
  co_await EndHeld(held, error);
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
