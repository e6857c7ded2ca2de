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
  /// Bytes a stream may hold that its reader has not taken.
  int32_t m_stream_window = 4 << 20;
  int32_t m_connection_window = 32 << 20;
  /// With streams open and nothing received for this long, a PING is sent.
  Duration m_ping_after = 500ms;
  /// Nothing received for this long, the PING's answer included: the
  /// connection is given up. A device between two hosts may drop a connection
  /// without telling either; no error would ever come.
  Duration m_silent_after = 2s;
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
  // Each loop holds the session alive by `self` from before it first runs.
  Awaitable<void> ReadLoop(std::shared_ptr<Session> self);
  Awaitable<void> WriteLoop(std::shared_ptr<Session> self);
  Awaitable<void> WatchForSilence(std::shared_ptr<Session> self);
  Awaitable<void> Answer(std::shared_ptr<Session> self, int32_t stream_id);

  std::unique_ptr<State> m_state;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_H_
