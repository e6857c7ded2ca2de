#include "base/work_thread.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/time.h"

namespace verbenalead {

namespace asio = boost::asio;

struct WorkThread::State {
  asio::thread_pool m_pool{1};
};

WorkThread::WorkThread() : m_state(std::make_unique<State>()) {}

WorkThread::~WorkThread() {
  m_state->m_pool.join();
}

Awaitable<void> WorkThread::Run(std::function<void()> work) {
  const auto executor = co_await asio::this_coro::executor;
  auto done = std::make_shared<asio::steady_timer>(executor, TimePoint::max());
  asio::post(m_state->m_pool, [work = std::move(work), executor, done] {
    work();
    // Comes after the wait below has begun, which is on the same thread.
    asio::post(executor, [done] { done->cancel(); });
  });
  boost::system::error_code ignored;
  co_await done->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace verbenalead
