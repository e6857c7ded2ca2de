#ifndef VERBENALEAD_HTTP_SERVER_CONNECTIONS_H_
#define VERBENALEAD_HTTP_SERVER_CONNECTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <set>

namespace verbenalead::http {

/// Handle by which a server can close one of its connections while that
/// connection waits for the next request. Belongs to the thread of the socket.
class ServerConnection {
 public:
  explicit ServerConnection(boost::asio::ip::tcp::socket& socket)
      : m_socket(&socket), m_executor(socket.get_executor()) {}

  /// Sets whether an answer was sent and the connection waits for the next
  /// request.
  void set_idle(bool idle) { m_idle = idle; }
  /// Must be called before the socket is destroyed.
  void Detach() { m_socket = nullptr; }
  /// Ends the wait for a next request, if there is one. Must be called on the
  /// thread of the socket.
  void CloseIfIdle();

  const boost::asio::any_io_executor& executor() const { return m_executor; }

 private:
  boost::asio::ip::tcp::socket* m_socket;
  const boost::asio::any_io_executor m_executor;
  bool m_idle = false;
};

/// The open connections of one server. Thread-safe.
class ServerConnections {
 public:
  using Pointer = std::shared_ptr<ServerConnection>;

  void Add(const Pointer& connection);
  void Remove(const Pointer& connection);
  /// Closes the connections that wait for a next request. The server closes any
  /// other connection after its current answer, see ended().
  void CloseIdle();
  bool ended() const;

 private:
  mutable std::mutex m_mutex;
  std::set<Pointer> m_connections;
  bool m_ended = false;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_SERVER_CONNECTIONS_H_
