#include "http/server_connections.h"

#include <boost/asio/post.hpp>

namespace verbenalead::http {

void ServerConnection::CloseIfIdle() {
  if (!m_idle || m_socket == nullptr)
    return;
  boost::system::error_code ignored;
  m_socket->cancel(ignored);
}

void ServerConnections::Add(const Pointer& connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.insert(connection);
}

void ServerConnections::Remove(const Pointer& connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_connections.erase(connection);
}

void ServerConnections::CloseIdle() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ended = true;
  for (const Pointer& connection : m_connections) {
    boost::asio::post(connection->executor(),
                      [connection] { connection->CloseIfIdle(); });
  }
}

bool ServerConnections::ended() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_ended;
}

}  // namespace verbenalead::http
