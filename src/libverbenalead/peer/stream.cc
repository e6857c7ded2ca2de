#include "peer/stream.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace verbenalead::peer {

void Stream::Close(const std::string& reason, bool complete) {
  m_closed = true;
  m_closed_reason = reason;
  if (!complete)
    m_ended = false;
  m_inbound_event.cancel();
  m_outbound_event.cancel();
  const bool sent = complete && m_outbound_finished;
  const auto on_disconnect = std::exchange(m_on_disconnect, nullptr);
  if (on_disconnect && !sent)
    on_disconnect();
}

Awaitable<void> WaitForEvent(boost::asio::steady_timer& event,
                             TimePoint deadline) {
  event.expires_at(deadline);
  boost::system::error_code ignored;
  co_await event.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace verbenalead::peer
