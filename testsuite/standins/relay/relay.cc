#include "standins/relay/relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace verbenalead::standins {

void Relay::Accept(boost::asio::ip::tcp::socket socket) {
  const auto executor = socket.get_executor();
  auto connection = std::make_shared<Connection>(std::move(socket));
  connection->m_delay = m_delay;
  connection->m_held = m_held;
  std::erase_if(m_connections, [](const auto& each) { return each.expired(); });
  m_connections.push_back(connection);
  boost::asio::co_spawn(executor, RunConnection(connection, m_forward),
                        boost::asio::detached);
}

void Relay::SilenceAll() {
  for (const auto& each : m_connections) {
    if (auto connection = each.lock())
      connection->m_silent = true;
  }
}

void Relay::SilenceFarSide() {
  for (const auto& each : m_connections) {
    if (auto connection = each.lock())
      connection->m_far_side_silent = true;
  }
}

void Relay::Hold(bool held) {
  m_held = held;
  for (const auto& each : m_connections) {
    if (auto connection = each.lock())
      connection->m_held = held;
  }
}

void Relay::CloseAll() {
  for (const auto& each : m_connections) {
    if (auto connection = each.lock())
      connection->Close();
  }
}

}  // namespace verbenalead::standins
