#ifndef VERBENALEAD_PEER_SESSION_H_
#define VERBENALEAD_PEER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "base/endpoint.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// Limits of one HTTP/2 connection between processes of this system, and the
/// times after which a connection without received data counts as lost.
struct SessionLimits {
  /// Maximum size of a request's body in bytes; the stream of a larger one is
  /// reset.
  size_t m_max_body = size_t{16} << 20;
  /// Maximum number of received bytes that a stream holds for its reader.
  /// 10,000 streams would hold 640 MB if all their callers stopped reading at
  /// once, which never happens.
  int32_t m_stream_window = 64 << 10;
  /// Maximum number of received bytes that a stream with chunks of weights
  /// holds for its reader. Only a few such streams are open at once.
  int32_t m_bulk_window = 4 << 20;
  int32_t m_connection_window = 32 << 20;
  /// A PING is sent if streams are open and nothing was received for this long.
  Duration m_ping_after = 500ms;
  /// The connection is closed if nothing was received for this long, not even
  /// the answer to the PING. A device between two hosts may drop a connection
  /// without notifying either of them, and then no error is ever reported.
  Duration m_silence_timeout = 2s;
  /// Used instead of m_silence_timeout on the accepting side, when nothing was
  /// received from the dialling side. It is longer, since the dialling entry
  /// may only have been suspended for a moment: if the accepting side then
  /// ended the entry's attempt, the outcome would be unknown without need.
  Duration m_accepted_silence_timeout = 10s;
  /// Before a request is sent on an idle connection, the connection is checked
  /// with a PING, and replaced if nothing is received within this time, which
  /// is many round trips between regions. Without the check, the first request
  /// after the connection was dropped would wait for m_silence_timeout, and its
  /// outcome would be unknown.
  Duration m_probe_timeout = 250ms;
  /// Interval at which the accepting side pings an idle connection, so that it
  /// closes the sockets of peers that no longer exist.
  Duration m_idle_ping_interval = 60s;
};

/// One HTTP/2 connection based on nghttp2, for either side. It belongs to one
/// thread: all calls must come from the executor of its socket.
class Session : public std::enable_shared_from_this<Session> {
 public:
  /// Creates the accepting side; `handler` answers each request.
  static std::shared_ptr<Session> Accept(boost::asio::ip::tcp::socket socket,
                                         SessionLimits limits,
                                         wire::Handler handler);
  /// Creates the dialling side.
  static std::shared_ptr<Session> Dial(boost::asio::ip::tcp::socket socket,
                                       SessionLimits limits,
                                       Endpoint endpoint);
  ~Session();

  /// Opens a stream and sends `request` on it. Fails with kUnreachable if no
  /// stream can be opened.
  AsyncResult<std::unique_ptr<wire::ResponseReader>> Open(
      wire::Request request);
  bool closed() const;
  /// True if new streams can be opened.
  bool usable() const;
  /// True if something was received within the last m_ping_after.
  bool recently_active() const;
  /// Sends a PING and waits until anything is received; false if nothing is
  /// within m_probe_timeout.
  Awaitable<bool> Probe();
  /// Allows no new stream, and closes the connection once its streams have
  /// ended.
  void Retire();
  /// Sends GOAWAY: streams in progress are completed, no new one is accepted.
  void Drain();

 private:
  struct State;
  class Reader;
  class Writer;
  struct Callbacks;

  explicit Session(std::unique_ptr<State> state);
  void Start();
  void Flush();
  void Close(const std::string& reason);
  void SendPing();
  /// How long the other side may currently send nothing before the connection
  /// is closed.
  Duration SilenceTimeout() const;
  // Each loop keeps the session alive through `self`, which the coroutine owns
  // before it first runs.
  Awaitable<void> ReadLoop(std::shared_ptr<Session> self);
  Awaitable<void> WriteLoop(std::shared_ptr<Session> self);
  Awaitable<void> WatchForSilence(std::shared_ptr<Session> self);
  Awaitable<void> Answer(std::shared_ptr<Session> self, int32_t stream_id);

  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_H_
