#include "peer/session_callbacks.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

#include "peer/nghttp2_fields.h"

namespace verbenalead::peer {

Session& Session::Callbacks::Self(void* user_data) {
  return *static_cast<Session*>(user_data);
}

int Session::Callbacks::OnBeginHeaders(nghttp2_session*,
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

int Session::Callbacks::OnHeader(nghttp2_session*,
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
  wire::Headers& headers =
      stream->m_head_done ? stream->m_trailers : stream->m_headers;
  headers[std::string(reinterpret_cast<const char*>(name), name_size)] =
      std::string(reinterpret_cast<const char*>(value), value_size);
  return 0;
}

int Session::Callbacks::OnFrame(nghttp2_session* session,
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
      state.m_ready_requests.push_back(stream->m_id);
  }
  stream->m_inbound_event.cancel();
  return 0;
}

int Session::Callbacks::OnData(nghttp2_session* session,
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
  // Flow control applies to each stream separately. With a shared window for
  // the whole connection, a few callers that read slowly would block all
  // others.
  nghttp2_session_consume_connection(session, size);
  if (state.m_handler) {
    // A request's body is stored whole, so its window is opened again at once;
    // m_max_body bounds the memory.
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

int Session::Callbacks::OnClose(nghttp2_session*,
                                int32_t id,
                                uint32_t error_code,
                                void* user_data) {
  State& state = *Self(user_data).m_state;
  StreamPtr stream = state.Find(id);
  if (!stream)
    return 0;
  state.m_streams.erase(id);
  state.m_flushing_streams.push_back(stream);
  stream->Close(
      std::string("stream closed: ") + nghttp2_http2_strerror(error_code),
      error_code == NGHTTP2_NO_ERROR);
  return 0;
}

ssize_t Session::Callbacks::ReadOutbound(nghttp2_session* session,
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
    const size_t count =
        std::min(length - copied, front.size() - stream.m_outbound_offset);
    std::memcpy(buffer + copied, front.data() + stream.m_outbound_offset,
                count);
    copied += count;
    stream.m_outbound_offset += count;
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

ssize_t Session::Callbacks::End(nghttp2_session* session,
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

}  // namespace verbenalead::peer
