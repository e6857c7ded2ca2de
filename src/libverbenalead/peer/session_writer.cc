#include "peer/session_writer.h"

#include <nghttp2/nghttp2.h>

#include <utility>

#include "peer/nghttp2_fields.h"
#include "peer/session_callbacks.h"

namespace verbenalead::peer {
namespace {

constexpr auto kNever = TimePoint::max();

}  // namespace

Session::Writer::Writer(std::shared_ptr<Session> session, StreamPtr stream)
    : m_session(std::move(session)), m_stream(std::move(stream)) {}

Awaitable<bool> Session::Writer::Send(wire::Response response) {
  const bool started = co_await Start(
      wire::ResponseHead{response.m_status, std::move(response.m_headers)});
  if (!started || !co_await Write(std::move(response.m_body)))
    co_return false;
  co_return co_await Finish({});
}

Awaitable<bool> Session::Writer::Start(wire::ResponseHead head) {
  if (disconnected())
    co_return false;
  Fields fields = {{":status", std::to_string(head.m_status)}};
  for (const auto& field : head.m_headers)
    fields.push_back(field);
  const auto values = MakeFields(fields);
  nghttp2_data_provider provider{{.ptr = m_stream.get()},
                                 &Callbacks::ReadOutbound};
  nghttp2_submit_response(m_session->m_state->m_session, m_stream->m_id,
                          values.data(), values.size(), &provider);
  m_started = true;
  m_session->Flush();
  co_return true;
}

Awaitable<bool> Session::Writer::Write(std::string bytes) {
  while (!disconnected() && m_stream->m_outbound_bytes >= kMaxOutbound)
    co_await WaitForEvent(m_stream->m_outbound_event, kNever);
  if (disconnected())
    co_return false;
  if (bytes.empty())
    co_return true;
  m_stream->m_outbound_bytes += bytes.size();
  m_stream->m_outbound.push_back(std::move(bytes));
  Resume();
  co_return true;
}

Awaitable<bool> Session::Writer::Finish(wire::Headers trailers) {
  if (disconnected())
    co_return false;
  m_stream->m_outbound_trailers = std::move(trailers);
  m_stream->m_outbound_finished = true;
  Resume();
  // A process that stops exits once its attempts are answered, so Finish()
  // waits until the answer was passed to the socket: what is still in the
  // memory of the process would be cut off.
  while (!m_stream->m_flushed && !m_session->closed())
    co_await WaitForEvent(m_stream->m_outbound_event, kNever);
  co_return m_stream->m_flushed;
}

bool Session::Writer::disconnected() const {
  return m_stream->m_closed || m_session->closed();
}

void Session::Writer::OnDisconnect(std::function<void()> function) {
  if (function && disconnected())
    function();
  else
    m_stream->m_on_disconnect = std::move(function);
}

void Session::Writer::Abandon() {
  if (disconnected() || m_stream->m_outbound_finished)
    return;
  nghttp2_submit_rst_stream(m_session->m_state->m_session, NGHTTP2_FLAG_NONE,
                            m_stream->m_id, NGHTTP2_INTERNAL_ERROR);
  m_session->Flush();
}

void Session::Writer::Resume() {
  nghttp2_session_resume_data(m_session->m_state->m_session, m_stream->m_id);
  m_session->Flush();
}

}  // namespace verbenalead::peer
