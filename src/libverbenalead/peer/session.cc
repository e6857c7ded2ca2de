#include "peer/session.h"

#include <nghttp2/nghttp2.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/spawn.h"
#include "peer/nghttp2_fields.h"
#include "peer/session_callbacks.h"
#include "peer/session_reader.h"
#include "peer/session_state.h"
#include "peer/session_writer.h"

namespace verbenalead::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kReadBytes = 256 * 1024;
constexpr size_t kWriteBytes = 256 * 1024;
constexpr int kLiveWeight = NGHTTP2_MAX_WEIGHT;
constexpr int kBulkWeight = NGHTTP2_MIN_WEIGHT;

}  // namespace

Session::Session(std::unique_ptr<State> state) : m_state(std::move(state)) {}

Session::~Session() = default;

std::shared_ptr<Session> Session::Accept(tcp::socket socket,
                                         SessionLimits limits,
                                         wire::Handler handler) {
  boost::system::error_code ignored;
  const auto remote = socket.remote_endpoint(ignored);
  auto state = std::make_unique<State>(std::move(socket), limits);
  state->m_handler = std::move(handler);
  state->m_peer =
      ToString(Endpoint(remote.address().to_string(), remote.port()));
  std::shared_ptr<Session> session(new Session(std::move(state)));
  session->Start();
  return session;
}

std::shared_ptr<Session> Session::Dial(tcp::socket socket,
                                       SessionLimits limits,
                                       Endpoint endpoint) {
  auto state = std::make_unique<State>(std::move(socket), limits);
  state->m_peer = ToString(endpoint);
  std::shared_ptr<Session> session(new Session(std::move(state)));
  session->Start();
  return session;
}

void Session::Start() {
  boost::system::error_code ignored;
  m_state->m_socket.set_option(tcp::no_delay(true), ignored);
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, &Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   &Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Callbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &Callbacks::OnClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  if (m_state->m_handler) {
    nghttp2_session_server_new2(&m_state->m_session, callbacks, this, option);
  } else {
    nghttp2_session_client_new2(&m_state->m_session, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);

  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 10000},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<uint32_t>(m_state->m_limits.m_stream_window)}};
  nghttp2_submit_settings(m_state->m_session, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(m_state->m_session, NGHTTP2_FLAG_NONE,
                                        0,
                                        m_state->m_limits.m_connection_window);
  const auto executor = m_state->m_socket.get_executor();
  Spawn(executor, ReadLoop(shared_from_this()), "read_loop");
  Spawn(executor, WatchForSilence(shared_from_this()), "watch_for_silence");
  Flush();
}

AsyncResult<std::unique_ptr<wire::ResponseReader>> Session::Open(
    wire::Request request) {
  const std::string step = request.m_method + " " + wire::PathOf(request);
  if (m_state->m_closed || m_state->m_retired) {
    return Failure{FailureCode::kUnreachable, step, m_state->m_peer,
                   "the connection is closed"};
  }
  auto stream = std::make_shared<Stream>(m_state->m_socket.get_executor());
  stream->m_outbound_finished = true;
  stream->m_outbound_bytes = request.m_body.size();
  if (!request.m_body.empty())
    stream->m_outbound.push_back(std::move(request.m_body));
  Fields fields = {{":method", request.m_method},
                   {":path", request.m_path},
                   {":scheme", "http"},
                   {":authority", m_state->m_peer}};
  for (const auto& field : request.m_headers)
    fields.push_back(field);
  const auto values = MakeFields(fields);
  nghttp2_priority_spec priority;
  nghttp2_priority_spec_init(
      &priority, 0,
      request.m_priority == wire::Priority::kLive ? kLiveWeight : kBulkWeight,
      0);
  nghttp2_data_provider provider{{.ptr = stream.get()},
                                 &Callbacks::ReadOutbound};
  const int32_t id = nghttp2_submit_request(
      m_state->m_session, &priority, values.data(), values.size(),
      stream->m_outbound.empty() ? nullptr : &provider, nullptr);
  if (id < 0) {
    return Failure{FailureCode::kUnreachable, step, m_state->m_peer,
                   nghttp2_strerror(id)};
  }
  stream->m_id = id;
  stream->m_bulk = request.m_priority == wire::Priority::kBulk;
  m_state->m_streams[id] = stream;
  Flush();
  return std::unique_ptr<wire::ResponseReader>(
      std::make_unique<Reader>(shared_from_this(), stream, step));
}

bool Session::closed() const {
  return m_state->m_closed;
}

bool Session::usable() const {
  return !m_state->m_closed && !m_state->m_retired;
}

bool Session::recently_active() const {
  return Now() - m_state->m_last_received_at < m_state->m_limits.m_ping_after;
}

Awaitable<bool> Session::Probe() {
  const auto self = shared_from_this();
  const TimePoint sent_at = Now();
  const TimePoint deadline = sent_at + m_state->m_limits.m_probe_timeout;
  SendPing();
  while (!m_state->m_closed && Now() < deadline) {
    if (m_state->m_last_received_at >= sent_at)
      co_return true;
    auto event =
        std::make_shared<asio::steady_timer>(m_state->m_socket.get_executor());
    m_state->m_probe_timers.push_back(event);
    co_await WaitForEvent(*event, deadline);
  }
  co_return !m_state->m_closed && m_state->m_last_received_at >= sent_at;
}

void Session::Retire() {
  m_state->m_retired = true;
  if (m_state->m_streams.empty())
    Close("retired");
}

void Session::SendPing() {
  if (m_state->m_closed || std::exchange(m_state->m_ping_sent, true))
    return;
  nghttp2_submit_ping(m_state->m_session, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
}

Duration Session::SilenceTimeout() const {
  const SessionLimits& limits = m_state->m_limits;
  if (!m_state->m_handler)
    return limits.m_silence_timeout;
  return m_state->m_streams.empty()
             ? limits.m_idle_ping_interval + limits.m_accepted_silence_timeout
             : limits.m_accepted_silence_timeout;
}

void Session::Drain() {
  if (m_state->m_closed)
    return;
  nghttp2_submit_shutdown_notice(m_state->m_session);
  Flush();
}

void Session::Flush() {
  if (m_state->m_writing || m_state->m_closed)
    return;
  m_state->m_writing = true;
  Spawn(m_state->m_socket.get_executor(), WriteLoop(shared_from_this()),
        "write_loop");
}

void Session::Close(const std::string& reason) {
  if (m_state->m_closed)
    return;
  m_state->m_closed = true;
  boost::system::error_code ignored;
  m_state->m_socket.close(ignored);
  m_state->m_watch_timer.cancel();
  for (const auto& probe : std::exchange(m_state->m_probe_timers, {}))
    probe->cancel();
  auto streams = std::move(m_state->m_streams);
  m_state->m_streams.clear();
  for (auto& [id, stream] : streams)
    stream->Close(reason, false);
  m_state->MarkFlushed();
}

Awaitable<void> Session::ReadLoop(std::shared_ptr<Session> self) {
  std::vector<uint8_t> buffer(kReadBytes);
  while (!m_state->m_closed) {
    boost::system::error_code error;
    const size_t size = co_await m_state->m_socket.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Close("connection lost: " + error.message());
      co_return;
    }
    m_state->m_last_received_at = Now();
    m_state->m_ping_sent = false;
    for (const auto& probe : std::exchange(m_state->m_probe_timers, {}))
      probe->cancel();
    const ssize_t consumed =
        nghttp2_session_mem_recv(m_state->m_session, buffer.data(), size);
    if (consumed < 0) {
      Close(std::string("protocol error: ") +
            nghttp2_strerror(static_cast<int>(consumed)));
      co_return;
    }
    auto ready = std::move(m_state->m_ready_requests);
    m_state->m_ready_requests.clear();
    for (int32_t id : ready)
      Spawn(m_state->m_socket.get_executor(), Answer(self, id), "answer");
    Flush();
  }
}

Awaitable<void> Session::WriteLoop(std::shared_ptr<Session>) {
  std::string out;
  while (!m_state->m_closed) {
    out.clear();
    while (out.size() < kWriteBytes) {
      const uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(m_state->m_session, &data);
      if (size <= 0)
        break;
      out.append(reinterpret_cast<const char*>(data),
                 static_cast<size_t>(size));
    }
    if (out.empty()) {
      m_state->MarkFlushed();
      break;
    }
    boost::system::error_code error;
    co_await asio::async_write(
        m_state->m_socket, asio::buffer(out),
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
      Close("connection lost: " + error.message());
    m_state->MarkFlushed();
  }
  m_state->m_writing = false;
  if (!m_state->m_closed && !nghttp2_session_want_read(m_state->m_session) &&
      !nghttp2_session_want_write(m_state->m_session))
    Close("connection ended");
}

Awaitable<void> Session::WatchForSilence(std::shared_ptr<Session>) {
  const SessionLimits& limits = m_state->m_limits;
  while (!m_state->m_closed) {
    co_await WaitForEvent(m_state->m_watch_timer, Now() + limits.m_ping_after);
    const bool idle = m_state->m_streams.empty();
    if (idle && m_state->m_retired)
      Close("retired");
    // The dialling side checks an idle connection with Probe() before its next
    // use.
    if (m_state->m_closed || (idle && !m_state->m_handler))
      continue;
    const Duration silence = Now() - m_state->m_last_received_at;
    if (silence >= SilenceTimeout()) {
      LogLine("connection_silent")
          .With("peer", m_state->m_peer)
          .With("silent_ms", ToMilliseconds(silence))
          .Warn();
      Close("nothing received although pinged");
    } else if (silence >=
               (idle ? limits.m_idle_ping_interval : limits.m_ping_after)) {
      SendPing();
    }
  }
}

Awaitable<void> Session::Answer(std::shared_ptr<Session> self,
                                int32_t stream_id) {
  StreamPtr stream = m_state->Find(stream_id);
  if (!stream)
    co_return;
  wire::Request request;
  request.m_peer = m_state->m_peer;
  request.m_method = wire::Get(stream->m_headers, ":method");
  request.m_path = wire::Get(stream->m_headers, ":path");
  for (const auto& [name, value] : stream->m_headers) {
    if (name[0] != ':')
      request.m_headers[name] = value;
  }
  for (const std::string& piece : stream->m_inbound)
    request.m_body += piece;
  stream->m_inbound.clear();
  Writer writer(self, stream);
  co_await m_state->m_handler(request, writer);
  writer.Abandon();
}

}  // namespace verbenalead::peer
