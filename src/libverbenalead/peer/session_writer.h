#ifndef VERBENALEAD_PEER_SESSION_WRITER_H_
#define VERBENALEAD_PEER_SESSION_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include "peer/session_state.h"
#include "wire/response_writer.h"

namespace verbenalead::peer {

/// Writes the response on a stream that the other side opened.
class Session::Writer : public wire::ResponseWriter {
 public:
  Writer(std::shared_ptr<Session> session, StreamPtr stream);

  Awaitable<bool> Send(wire::Response response) override;

  Awaitable<bool> Start(wire::ResponseHead head) override;

  Awaitable<bool> Write(std::string bytes) override;

  Awaitable<bool> Finish(wire::Headers trailers) override;

  bool disconnected() const override;

  void OnDisconnect(std::function<void()> function) override;

  /// Resets the stream if the handler left the response unfinished.
  void Abandon();

 private:
  void Resume();

  std::shared_ptr<Session> m_session;
  StreamPtr m_stream;
  bool m_started = false;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_WRITER_H_
