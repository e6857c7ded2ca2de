#include "peer/session_reader.h"

#include <nghttp2/nghttp2.h>

#include <cstdlib>
#include <utility>

#include "wire/status.h"

namespace verbenalead::peer {

Session::Reader::Reader(std::shared_ptr<Session> session,
                        StreamPtr stream,
                        std::string step)
    : m_session(std::move(session)),
      m_stream(std::move(stream)),
      m_step(std::move(step)) {}

Session::Reader::~Reader() {
  Reset();
}

Awaitable<AsyncResult<wire::ResponseHead>> Session::Reader::ReadHead(
    TimePoint deadline) {
  while (!m_stream->m_head_done) {
    if (m_cancelled)
      co_return Cancelled();
    if (m_stream->m_closed)
      co_return Broken(FailureCode::kBroken, m_stream->m_closed_reason);
    if (Now() >= deadline)
      co_return Broken(FailureCode::kTimeout, "no response in time");
    co_await WaitForEvent(m_stream->m_inbound_event, deadline);
  }
  wire::ResponseHead head;
  head.m_headers = m_stream->m_headers;
  const std::string status = wire::Get(head.m_headers, ":status");
  head.m_status = std::atoi(status.c_str());
  if (!wire::IsFinalStatus(head.m_status))
    co_return Broken(FailureCode::kCorrupt, "status '" + status + "'");
  head.m_headers.erase(":status");
  co_return head;
}

Awaitable<AsyncResult<std::optional<std::string>>> Session::Reader::ReadBody(
    TimePoint deadline) {
  while (m_stream->m_inbound.empty()) {
    if (m_stream->m_ended)
      co_return std::optional<std::string>();
    if (m_cancelled)
      co_return Cancelled();
    if (m_stream->m_closed)
      co_return Broken(FailureCode::kBroken, m_stream->m_closed_reason);
    if (Now() >= deadline)
      co_return Broken(FailureCode::kTimeout, "the body stalled");
    co_await WaitForEvent(m_stream->m_inbound_event, deadline);
  }
  std::string bytes = std::move(m_stream->m_inbound.front());
  m_stream->m_inbound.pop_front();
  // Returns all received data in one piece. A frame holds 16 KB, and to wake
  // the reader and open the window for each frame costs more than to copy the
  // data.
  while (!m_stream->m_inbound.empty()) {
    bytes += m_stream->m_inbound.front();
    m_stream->m_inbound.pop_front();
  }
  if (!m_session->closed()) {
    nghttp2_session_consume_stream(m_session->m_state->m_session,
                                   m_stream->m_id, bytes.size());
    m_session->Flush();
  }
  co_return std::optional<std::string>(std::move(bytes));
}

const wire::Headers& Session::Reader::trailers() const {
  return m_stream->m_trailers;
}

void Session::Reader::Cancel() {
  if (std::exchange(m_cancelled, true))
    return;
  Reset();
  m_stream->m_inbound_event.cancel();
}

void Session::Reader::Reset() {
  if (m_stream->m_closed || m_session->closed())
    return;
  nghttp2_submit_rst_stream(m_session->m_state->m_session, NGHTTP2_FLAG_NONE,
                            m_stream->m_id, NGHTTP2_CANCEL);
  m_session->Flush();
}

Failure Session::Reader::Cancelled() const {
  return Broken(FailureCode::kCancelled, "cancelled");
}

Failure Session::Reader::Broken(FailureCode code,
                                const std::string& reason) const {
  return Failure{code, m_step, m_session->m_state->m_peer, reason};
}

}  // namespace verbenalead::peer
