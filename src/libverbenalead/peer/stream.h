#ifndef VERBENALEAD_PEER_STREAM_H_
#define VERBENALEAD_PEER_STREAM_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <string>

#include "base/awaitable.h"
#include "base/time.h"
#include "wire/headers.h"

namespace verbenalead::peer {

/// Received and unsent data of one HTTP/2 stream.
struct Stream {
  explicit Stream(const boost::asio::any_io_executor& executor)
      : m_inbound_event(executor), m_outbound_event(executor) {}

  int32_t m_id = 0;

  // Received.
  wire::Headers m_headers;
  bool m_head_done = false;
  std::deque<std::string> m_inbound;
  size_t m_inbound_bytes = 0;
  wire::Headers m_trailers;
  bool m_ended = false;
  bool m_closed = false;
  std::string m_closed_reason;
  boost::asio::steady_timer m_inbound_event;
  /// Opened for bulk data: its window is enlarged to m_bulk_window.
  bool m_bulk = false;

  // To be sent.
  std::deque<std::string> m_outbound;
  size_t m_outbound_offset = 0;
  size_t m_outbound_bytes = 0;
  bool m_outbound_finished = false;
  bool m_trailers_sent = false;
  wire::Headers m_outbound_trailers;
  boost::asio::steady_timer m_outbound_event;
  /// The last byte has been passed to the socket.
  bool m_flushed = false;
  /// Called if the stream is closed before the end of the response was sent.
  std::function<void()> m_on_disconnect;

  /// Marks the stream closed, and wakes the coroutines that wait for it.
  /// `complete` is false if data may be missing.
  void Close(const std::string& reason, bool complete);
};

/// Waits until `event` is cancelled or `deadline` passes.
Awaitable<void> WaitForEvent(boost::asio::steady_timer& event,
                             TimePoint deadline);

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_STREAM_H_
