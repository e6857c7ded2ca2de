#ifndef VERBENALEAD_HTTP_DISCONNECT_MONITOR_H_
#define VERBENALEAD_HTTP_DISCONNECT_MONITOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace verbenalead::http {

/// Detects that a caller closes its connection while its answer is being
/// computed. The server neither reads nor writes during that time, so no I/O
/// error would report it, and the engine would continue to work for a caller
/// that is gone. All calls must come from the thread of the socket.
class DisconnectMonitor
    : public std::enable_shared_from_this<DisconnectMonitor> {
 public:
  explicit DisconnectMonitor(boost::asio::ip::tcp::socket& socket)
      : m_socket(socket), m_timer(socket.get_executor()) {}

  /// Calls `on_disconnect` once if the caller closes its connection before
  /// Stop().
  void Start(std::function<void()> on_disconnect);
  void Stop();
  /// Must be called before the socket is destroyed.
  void Detach();

 private:
  void WaitForReadable();
  void CheckState();
  bool IsDisconnected();

  boost::asio::ip::tcp::socket& m_socket;
  boost::asio::steady_timer m_timer;
  std::function<void()> m_on_disconnect;
  bool m_wait_pending = false;
  bool m_detached = false;
};

}  // namespace verbenalead::http

#endif  // VERBENALEAD_HTTP_DISCONNECT_MONITOR_H_
