#include "peer/stream.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead::peer {

Awaitable<void> WaitForEvent(boost::asio::steady_timer& event,
                             TimePoint deadline) {
  event.expires_at(deadline);
  boost::system::error_code ignored;
  co_await event.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace verbenalead::peer
