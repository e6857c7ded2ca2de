#ifndef VERBENALEAD_PEER_SESSION_CALLBACKS_H_
#define VERBENALEAD_PEER_SESSION_CALLBACKS_H_

#include <nghttp2/nghttp2.h>

#include "peer/session_state.h"

namespace verbenalead::peer {

/// A writer waits while at least this many bytes of its stream are unsent.
constexpr size_t kMaxOutbound = 1 << 20;

/// Callbacks by which nghttp2 passes received frames to the session and reads
/// the data to be sent.
struct Session::Callbacks {
  static Session& Self(void* user_data);

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data);

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* user_data);

  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* user_data);

  static int OnData(nghttp2_session* session,
                    uint8_t,
                    int32_t id,
                    const uint8_t* data,
                    size_t size,
                    void* user_data);

  static int OnClose(nghttp2_session*,
                     int32_t id,
                     uint32_t error_code,
                     void* user_data);

  static ssize_t ReadOutbound(nghttp2_session* session,
                              int32_t id,
                              uint8_t* buffer,
                              size_t length,
                              uint32_t* flags,
                              nghttp2_data_source* source,
                              void*);

  static ssize_t End(nghttp2_session* session,
                     int32_t id,
                     Stream& stream,
                     uint32_t* flags,
                     size_t copied);
};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_SESSION_CALLBACKS_H_
