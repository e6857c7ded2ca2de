#ifndef VERBENALEAD_PEER_SESSION_STATE_H_
#define VERBENALEAD_PEER_SESSION_STATE_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peer/session.h"
#include "peer/stream.h"

struct nghttp2_session;

namespace verbenalead::peer {

using StreamPtr = std::shared_ptr<Stream>;

/// State of a session, used only on the thread of its socket.
struct Session::State {
  State(boost::asio::ip::tcp::socket socket, SessionLimits limits)
      : m_socket(std::move(socket)),
        m_limits(limits),
        m_last_received_at(Now()),
        m_watch_timer(m_socket.get_executor()) {}
  ~State();

  StreamPtr Find(int32_t id) {
    auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
  }

  void MarkFlushed() {
    for (const StreamPtr& stream : std::exchange(m_flushing_streams, {})) {
      stream->m_flushed = true;
      stream->m_outbound_event.cancel();
    }
  }

  boost::asio::ip::tcp::socket m_socket;
  const SessionLimits m_limits;
  wire::Handler m_handler;
  std::string m_peer;
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, StreamPtr> m_streams;
  bool m_writing = false;
  bool m_closed = false;
  TimePoint m_last_received_at;
  bool m_ping_sent = false;
  bool m_retired = false;
  /// Timers of the calls of Probe() in progress; cancelled when data is
  /// received.
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_probe_timers;
  boost::asio::steady_timer m_watch_timer;
  /// Streams whose request has been received completely. They are answered
  /// after nghttp2_session_mem_recv() has returned.
  std::vector<int32_t> m_ready_requests;
  /// Streams whose last frame is in the buffer that is being written.
  std::vector<StreamPtr> m_flushing_streams;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_STATE_H_
