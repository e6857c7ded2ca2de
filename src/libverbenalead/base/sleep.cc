#include "base/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead {

Awaitable<void> Sleep(Duration duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace verbenalead
