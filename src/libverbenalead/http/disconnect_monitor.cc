#include "http/disconnect_monitor.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "base/time.h"

namespace verbenalead::http {
namespace {

/// Interval at which a connection is checked while it has unread bytes: a
/// pipelined request, or TLS records. DisconnectMonitor must not read them, and
/// until they are read, waiting for the socket to become readable returns at
/// once.
constexpr Duration kPollInterval = 200ms;

}  // namespace

void DisconnectMonitor::Start(std::function<void()> on_disconnect) {
  m_on_disconnect = std::move(on_disconnect);
  if (!m_wait_pending)
    WaitForReadable();
}

void DisconnectMonitor::Stop() {
  m_on_disconnect = nullptr;
}

void DisconnectMonitor::Detach() {
  m_detached = true;
  m_on_disconnect = nullptr;
  m_timer.cancel();
}

void DisconnectMonitor::WaitForReadable() {
  m_wait_pending = true;
  m_socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_wait_pending = false;
        if (!error)
          self->CheckState();
      });
}

void DisconnectMonitor::CheckState() {
  if (m_detached || !m_on_disconnect)
    return;
  if (IsDisconnected()) {
    std::exchange(m_on_disconnect, nullptr)();
    return;
  }
  m_wait_pending = true;
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_wait_pending = false;
        if (!error)
          self->CheckState();
      });
}

/// Checks the state of the TCP connection instead of reading from it: pending
/// bytes may belong to a pipelined request or be encrypted.
bool DisconnectMonitor::IsDisconnected() {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed =
      getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failed != 0 || info.tcpi_state != TCP_ESTABLISHED;
}

}  // namespace verbenalead::http
