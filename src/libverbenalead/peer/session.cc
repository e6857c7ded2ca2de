#include "peer/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/spawn.h"
#include "peer/stream.h"

namespace verbenalead::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kReadBytes = 256 * 1024;
constexpr size_t kWriteBytes = 256 * 1024;
/// A writer waits once this much of its stream has not gone out.
constexpr size_t kMaxOutbound = 1 << 20;
constexpr int kLiveWeight = NGHTTP2_MAX_WEIGHT;
constexpr int kBulkWeight = NGHTTP2_MIN_WEIGHT;
constexpr auto kNever = TimePoint::max();

using StreamPtr = std::shared_ptr<Stream>;

nghttp2_nv MakeField(const std::string& name, const std::string& value) {
  auto bytes = [](const std::string& text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> MakeFields(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::vector<nghttp2_nv> out;
  out.reserve(fields.size());
  for (const auto& [name, value] : fields)
    out.push_back(MakeField(name, value));
  return out;
}

std::vector<std::pair<std::string, std::string>> FieldsOf(
    const wire::Headers& headers) {
  return {headers.begin(), headers.end()};
}

}  // namespace

struct Session::State {
  State(tcp::socket socket, SessionLimits limits)
      : m_socket(std::move(socket)),
        m_limits(limits),
        m_last_received(Now()),
        m_watch_timer(m_socket.get_executor()) {}
  ~State() { nghttp2_session_del(m_session); }

  StreamPtr Find(int32_t id) {
    auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
  }

  void MarkFlushed() {
    for (const StreamPtr& stream : std::exchange(m_sent, {})) {
      stream->m_flushed = true;
      stream->m_outbound_event.cancel();
    }
  }

  tcp::socket m_socket;
  const SessionLimits m_limits;
  wire::Handler m_handler;
  std::string m_peer;
  nghttp2_session* m_session = nullptr;
  std::map<int32_t, StreamPtr> m_streams;
  bool m_writing = false;
  bool m_closed = false;
  TimePoint m_last_received;
  bool m_ping_sent = false;
  bool m_retired = false;
  /// Cancelled when bytes come.
  std::vector<std::shared_ptr<asio::steady_timer>> m_probes;
  asio::steady_timer m_watch_timer;
  /// Requests whose last byte has come, to be answered after mem_recv.
  std::vector<int32_t> m_ready;
  /// Streams whose last frame is in the buffer that is being written.
  std::vector<StreamPtr> m_sent;
};

/// nghttp2 calls back into the session through these.
struct Session::Callbacks {
  static Session& Self(void* user_data) {
    return *static_cast<Session*>(user_data);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
    State& state = *Self(user_data).m_state;
    const int32_t id = frame->hd.stream_id;
    if (!state.Find(id)) {
      auto stream = std::make_shared<Stream>(state.m_socket.get_executor());
      stream->m_id = id;
      state.m_streams[id] = stream;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user_data) {
    StreamPtr stream = Self(user_data).m_state->Find(frame->hd.stream_id);
    if (!stream)
      return 0;
    wire::Headers& into =
        stream->m_head_done ? stream->m_trailers : stream->m_headers;
    into[std::string(reinterpret_cast<const char*>(name), name_size)] =
        std::string(reinterpret_cast<const char*>(value), value_size);
    return 0;
  }

  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* user_data) {
    State& state = *Self(user_data).m_state;
    StreamPtr stream = state.Find(frame->hd.stream_id);
    if (!stream)
      return 0;
    if (frame->hd.type == NGHTTP2_HEADERS) {
      stream->m_head_done = true;
      if (std::exchange(stream->m_bulk, false)) {
        nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE,
                                              stream->m_id,
                                              state.m_limits.m_bulk_window);
      }
    }
    const bool carries_end =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (carries_end && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) {
      stream->m_ended = true;
      if (state.m_handler)
        state.m_ready.push_back(stream->m_id);
    }
    stream->m_inbound_event.cancel();
    return 0;
  }

  static int OnData(nghttp2_session* session,
                    uint8_t,
                    int32_t id,
                    const uint8_t* data,
                    size_t size,
                    void* user_data) {
    State& state = *Self(user_data).m_state;
    StreamPtr stream = state.Find(id);
    if (!stream) {
      nghttp2_session_consume(session, id, size);
      return 0;
    }
    // Each stream is held back by its own window only: with one for the whole
    // connection, a few callers that read slowly would hold up all others.
    nghttp2_session_consume_connection(session, size);
    if (state.m_handler) {
      // A request's body is taken whole, so its window opens again at once;
      // the limit on its length bounds what is held.
      nghttp2_session_consume_stream(session, id, size);
      if (stream->m_inbound_bytes + size > state.m_limits.m_max_body) {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
      }
    }
    stream->m_inbound_bytes += size;
    stream->m_inbound.emplace_back(reinterpret_cast<const char*>(data), size);
    stream->m_inbound_event.cancel();
    return 0;
  }

  static int OnClose(nghttp2_session*,
                     int32_t id,
                     uint32_t error_code,
                     void* user_data) {
    State& state = *Self(user_data).m_state;
    StreamPtr stream = state.Find(id);
    if (!stream)
      return 0;
    state.m_streams.erase(id);
    state.m_sent.push_back(stream);
    stream->Close(
        std::string("stream closed: ") + nghttp2_http2_strerror(error_code),
        error_code == NGHTTP2_NO_ERROR);
    return 0;
  }

  static ssize_t ReadOutbound(nghttp2_session* session,
                              int32_t id,
                              uint8_t* buffer,
                              size_t length,
                              uint32_t* flags,
                              nghttp2_data_source* source,
                              void*) {
    Stream& stream = *static_cast<Stream*>(source->ptr);
    size_t copied = 0;
    while (copied < length && !stream.m_outbound.empty()) {
      const std::string& front = stream.m_outbound.front();
      const size_t take =
          std::min(length - copied, front.size() - stream.m_outbound_offset);
      std::memcpy(buffer + copied, front.data() + stream.m_outbound_offset,
                  take);
      copied += take;
      stream.m_outbound_offset += take;
      if (stream.m_outbound_offset == front.size()) {
        stream.m_outbound.pop_front();
        stream.m_outbound_offset = 0;
      }
    }
    stream.m_outbound_bytes -= copied;
    if (stream.m_outbound_bytes < kMaxOutbound)
      stream.m_outbound_event.cancel();
    if (stream.m_outbound.empty() && stream.m_outbound_finished)
      return End(session, id, stream, flags, copied);
    if (copied == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(copied);
  }

  static ssize_t End(nghttp2_session* session,
                     int32_t id,
                     Stream& stream,
                     uint32_t* flags,
                     size_t copied) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!stream.m_outbound_trailers.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto fields = FieldsOf(stream.m_outbound_trailers);
      const auto values = MakeFields(fields);
      nghttp2_submit_trailer(session, id, values.data(), values.size());
    }
    return static_cast<ssize_t>(copied);
  }
};

/// Reads the response on a stream that this side opened.
class Session::Reader : public wire::ResponseReader {
 public:
  Reader(std::shared_ptr<Session> session, StreamPtr stream, std::string step)
      : m_session(std::move(session)),
        m_stream(std::move(stream)),
        m_step(std::move(step)) {}

  ~Reader() override { Reset(); }

  Awaitable<AsyncResult<wire::ResponseHead>> ReadHead(
      TimePoint deadline) override {
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
    head.m_status = std::atoi(wire::Get(head.m_headers, ":status").c_str());
    head.m_headers.erase(":status");
    co_return head;
  }

  Awaitable<AsyncResult<std::optional<std::string>>> ReadBody(
      TimePoint deadline) override {
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
    if (!m_session->closed()) {
      nghttp2_session_consume_stream(m_session->m_state->m_session,
                                     m_stream->m_id, bytes.size());
      m_session->Flush();
    }
    co_return std::optional<std::string>(std::move(bytes));
  }

  const wire::Headers& trailers() const override {
    return m_stream->m_trailers;
  }

  void Cancel() override {
    if (std::exchange(m_cancelled, true))
      return;
    Reset();
    m_stream->m_inbound_event.cancel();
  }

 private:
  void Reset() {
    if (m_stream->m_closed || m_session->closed())
      return;
    nghttp2_submit_rst_stream(m_session->m_state->m_session, NGHTTP2_FLAG_NONE,
                              m_stream->m_id, NGHTTP2_CANCEL);
    m_session->Flush();
  }

  Failure Cancelled() const {
    return Broken(FailureCode::kCancelled, "cancelled");
  }

  Failure Broken(FailureCode code, const std::string& reason) const {
    return Failure{code, m_step, m_session->m_state->m_peer, reason};
  }

  std::shared_ptr<Session> m_session;
  StreamPtr m_stream;
  std::string m_step;
  bool m_cancelled = false;
};

/// Writes the response on a stream that the other side opened.
class Session::Writer : public wire::ResponseWriter {
 public:
  Writer(std::shared_ptr<Session> session, StreamPtr stream)
      : m_session(std::move(session)), m_stream(std::move(stream)) {}

  Awaitable<bool> Send(wire::Response response) override {
    const bool started = co_await Start(
        wire::ResponseHead{response.m_status, std::move(response.m_headers)});
    if (!started || !co_await Write(std::move(response.m_body)))
      co_return false;
    co_return co_await Finish({});
  }

  Awaitable<bool> Start(wire::ResponseHead head) override {
    if (gone())
      co_return false;
    std::vector<std::pair<std::string, std::string>> fields = {
        {":status", std::to_string(head.m_status)}};
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

  Awaitable<bool> Write(std::string bytes) override {
    while (!gone() && m_stream->m_outbound_bytes >= kMaxOutbound)
      co_await WaitForEvent(m_stream->m_outbound_event, kNever);
    if (gone())
      co_return false;
    if (bytes.empty())
      co_return true;
    m_stream->m_outbound_bytes += bytes.size();
    m_stream->m_outbound.push_back(std::move(bytes));
    Resume();
    co_return true;
  }

  Awaitable<bool> Finish(wire::Headers trailers) override {
    if (gone())
      co_return false;
    m_stream->m_outbound_trailers = std::move(trailers);
    m_stream->m_outbound_finished = true;
    Resume();
    // A process that stops ends once its attempts are answered: an answer that
    // is still in this process's memory would be cut off.
    while (!m_stream->m_flushed && !m_session->closed())
      co_await WaitForEvent(m_stream->m_outbound_event, kNever);
    co_return m_stream->m_flushed;
  }

  bool gone() const override {
    return m_stream->m_closed || m_session->closed();
  }

  void OnGone(std::function<void()> function) override {
    if (function && gone())
      function();
    else
      m_stream->m_on_gone = std::move(function);
  }

  /// Resets a stream that the handler left unfinished.
  void Abandon() {
    if (gone() || m_stream->m_outbound_finished)
      return;
    nghttp2_submit_rst_stream(m_session->m_state->m_session, NGHTTP2_FLAG_NONE,
                              m_stream->m_id, NGHTTP2_INTERNAL_ERROR);
    m_session->Flush();
  }

 private:
  void Resume() {
    nghttp2_session_resume_data(m_session->m_state->m_session, m_stream->m_id);
    m_session->Flush();
  }

  std::shared_ptr<Session> m_session;
  StreamPtr m_stream;
  bool m_started = false;
};

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
  session->Begin();
  return session;
}

std::shared_ptr<Session> Session::Dial(tcp::socket socket,
                                       SessionLimits limits,
                                       Endpoint endpoint) {
  auto state = std::make_unique<State>(std::move(socket), limits);
  state->m_peer = ToString(endpoint);
  std::shared_ptr<Session> session(new Session(std::move(state)));
  session->Begin();
  return session;
}

void Session::Begin() {
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
  std::vector<std::pair<std::string, std::string>> fields = {
      {":method", request.m_method},
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

bool Session::fresh() const {
  return Now() - m_state->m_last_received < m_state->m_limits.m_ping_after;
}

Awaitable<bool> Session::Probe() {
  const auto self = shared_from_this();
  const TimePoint asked = Now();
  const TimePoint give_up = asked + m_state->m_limits.m_probe_timeout;
  SendPing();
  while (!m_state->m_closed && Now() < give_up) {
    if (m_state->m_last_received >= asked)
      co_return true;
    auto event =
        std::make_shared<asio::steady_timer>(m_state->m_socket.get_executor());
    m_state->m_probes.push_back(event);
    co_await WaitForEvent(*event, give_up);
  }
  co_return !m_state->m_closed && m_state->m_last_received >= asked;
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

Duration Session::SilenceAllowed() const {
  const SessionLimits& limits = m_state->m_limits;
  if (!m_state->m_handler)
    return limits.m_silent_after;
  return m_state->m_streams.empty()
             ? limits.m_idle_ping + limits.m_accepted_silent_after
             : limits.m_accepted_silent_after;
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
  for (const auto& probe : std::exchange(m_state->m_probes, {}))
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
    m_state->m_last_received = Now();
    m_state->m_ping_sent = false;
    for (const auto& probe : std::exchange(m_state->m_probes, {}))
      probe->cancel();
    const ssize_t taken =
        nghttp2_session_mem_recv(m_state->m_session, buffer.data(), size);
    if (taken < 0) {
      Close(std::string("protocol error: ") +
            nghttp2_strerror(static_cast<int>(taken)));
      co_return;
    }
    auto ready = std::move(m_state->m_ready);
    m_state->m_ready.clear();
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
    // The dialling side probes an idle connection when it is next used.
    if (m_state->m_closed || (idle && !m_state->m_handler))
      continue;
    const Duration silence = Now() - m_state->m_last_received;
    if (silence >= SilenceAllowed()) {
      LogLine("connection_silent")
          .With("peer", m_state->m_peer)
          .With("silent_ms", ToMilliseconds(silence))
          .Warn();
      Close("nothing received although pinged");
    } else if (silence >= (idle ? limits.m_idle_ping : limits.m_ping_after)) {
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
