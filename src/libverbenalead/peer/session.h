#ifndef VERBENALEAD_PEER_SESSION_H_
#define VERBENALEAD_PEER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "base/endpoint.h"
#include "wire/client.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// What one HTTP/2 connection between our processes may use up, and how soon
/// silence counts as loss.
struct SessionLimits {
  /// Bytes of one request's body; past this the stream is reset.
  size_t m_max_body = size_t{16} << 20;
  /// Bytes a stream may hold that its reader has not taken: 10,000 streams
  /// whose callers all stand still hold 640 MB, and they never do.
  int32_t m_stream_window = 64 << 10;
  /// The same for chunks of weights, of which few are under way.
  int32_t m_bulk_window = 4 << 20;
  int32_t m_connection_window = 32 << 20;
  /// With streams open and nothing received for this long, a PING is sent.
  Duration m_ping_after = 500ms;
  /// Nothing received for this long, the PING's answer included: the
  /// connection is given up. A device between two hosts may drop a connection
  /// without telling either; no error would ever come.
  Duration m_silent_after = 2s;
  /// The accepting side waits longer: to end an attempt because its entry was
  /// paused for a moment would put the outcome in doubt for nothing.
  Duration m_accepted_silent_after = 10s;
  /// A connection that stood idle is asked for a sign of life before a request
  /// is put on it; this is many round trips between regions. Without it the
  /// first request after the connection was dropped waits for m_silent_after,
  /// and its fate is in doubt.
  Duration m_probe_timeout = 250ms;
  /// The accepting side pings an idle connection this seldom, so that it
  /// doesn't keep the sockets of peers that are gone.
  Duration m_idle_ping = 60s;
};

/// One HTTP/2 connection by nghttp2, either side of it. It belongs to one
/// thread: all calls come from the executor of its socket.
class Session : public std::enable_shared_from_this<Session> {
 public:
  /// The accepting side; `handler` answers each request.
  static std::shared_ptr<Session> Accept(boost::asio::ip::tcp::socket socket,
                                         SessionLimits limits,
                                         wire::Handler handler);
  /// The dialling side.
  static std::shared_ptr<Session> Dial(boost::asio::ip::tcp::socket socket,
                                       SessionLimits limits,
                                       Endpoint endpoint);
  ~Session();

  /// Opens a stream. Fails with kUnreachable if the session is closed.
  AsyncResult<std::unique_ptr<wire::ResponseReader>> Open(
      wire::Request request);
  bool closed() const;
  /// True if it takes new streams.
  bool usable() const;
  /// True if something was received within m_ping_after.
  bool fresh() const;
  /// Sends a PING and waits for whatever comes; false if nothing does within
  /// m_probe_timeout.
  Awaitable<bool> Probe();
  /// Takes no new stream, and closes once its streams have ended.
  void Retire();
  /// Sends GOAWAY: streams under way are finished, no new one is taken.
  void Drain();

 private:
  struct State;
  class Reader;
  class Writer;
  struct Callbacks;

  explicit Session(std::unique_ptr<State> state);
  void Begin();
  void Flush();
  void Close(const std::string& reason);
  void SendPing();
  /// How long the other side may be silent now.
  Duration SilenceAllowed() const;
  // Each loop holds the session alive by `self` from before it first runs.
  Awaitable<void> ReadLoop(std::shared_ptr<Session> self);
  Awaitable<void> WriteLoop(std::shared_ptr<Session> self);
  Awaitable<void> WatchForSilence(std::shared_ptr<Session> self);
  Awaitable<void> Answer(std::shared_ptr<Session> self, int32_t stream_id);

  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_H_
