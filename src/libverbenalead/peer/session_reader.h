#ifndef VERBENALEAD_PEER_SESSION_READER_H_
#define VERBENALEAD_PEER_SESSION_READER_H_

#include <memory>
#include <optional>
#include <string>

#include "peer/session_state.h"
#include "wire/response_reader.h"

namespace verbenalead::peer {

/// Reads the response on a stream that this side opened.
class Session::Reader : public wire::ResponseReader {
 public:
  Reader(std::shared_ptr<Session> session, StreamPtr stream, std::string step);

  ~Reader() override;

  Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(
      TimePoint deadline) override;

  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) override;

  const wire::Headers& trailers() const override;

  void Cancel() override;

 private:
  void Reset();

  Failure Cancelled() const;

  Failure Broken(FailureCode code, const std::string& reason) const;

  std::shared_ptr<Session> m_session;
  StreamPtr m_stream;
  std::string m_step;
  bool m_cancelled = false;
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_READER_H_
