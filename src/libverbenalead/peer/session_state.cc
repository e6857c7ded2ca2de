#include "peer/session_state.h"

#include <nghttp2/nghttp2.h>

namespace verbenalead::peer {

Session::State::~State() {
  nghttp2_session_del(m_session);
}

}  // namespace verbenalead::peer
