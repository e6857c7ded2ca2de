#ifndef VERBENALEAD_HTTP_KEPT_CONNECTIONS_H_
#define VERBENALEAD_HTTP_KEPT_CONNECTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <set>

namespace verbenalead::http {

/// One connection, as far as others may end it. Belongs to the thread of its
/// socket.
class KeptConnection {
 public:
  explicit KeptConnection(boost::asio::ip::tcp::socket& socket)
      : m_socket(&socket), m_executor(socket.get_executor()) {}

  /// An answer was sent, and the next request is waited for.
  void set_idle(bool idle) { m_idle = idle; }
  /// The socket is about to be destroyed.
  void Detach() { m_socket = nullptr; }
  /// Ends the wait for a next request, if there is one. On its thread.
  void EndIfIdle();

  const boost::asio::any_io_executor& executor() const { return m_executor; }

 private:
  boost::asio::ip::tcp::socket* m_socket;
  const boost::asio::any_io_executor m_executor;
  bool m_idle = false;
};

/// The open connections of one server. From any thread.
class KeptConnections {
 public:
  using Pointer = std::shared_ptr<KeptConnection>;

  void Add(const Pointer& connection);
  void Remove(const Pointer& connection);
  /// Connections on which a next request is waited for are closed, now and from
  /// now on.
  void EndIdle();
  bool ended() const;

 private:
  mutable std::mutex m_mutex;
  std::set<Pointer> m_connections;
  bool m_ended = false;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_KEPT_CONNECTIONS_H_
