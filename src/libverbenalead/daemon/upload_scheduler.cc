#include "daemon/upload_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead::daemon {
namespace {

namespace asio = boost::asio;

/// Number of chunks sent concurrently. With two, the second chunk is ready when
/// the first has been sent, so that the link isn't idle in between. More would
/// weaken the effect of the queue's order.
constexpr uint32_t kMaxConcurrentUploads = 2;
/// Number of versions above which queues without waiting requests are dropped.
/// Normally two are in use: the active version and the one being transferred.
constexpr size_t kMaxQueues = 4;

}  // namespace

/// A waiting request. All members except m_request are used only on the
/// request's executor.
struct UploadScheduler::Waiter {
  Waiter(const asio::any_io_executor& executor, decide::UploadRequest request)
      : m_request(request), m_timer(executor) {
    m_timer.expires_at(TimePoint::max());
  }

  decide::UploadRequest m_request;
  asio::steady_timer m_timer;
  bool m_granted = false;
};

Awaitable<void> UploadScheduler::WaitForTurn(Digest digest,
                                             decide::UploadRequest request,
                                             uint64_t bytes) {
  const auto executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor, request);
  Enqueue(digest, waiter);
  while (!waiter->m_granted) {
    boost::system::error_code cancelled;
    co_await waiter->m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));
  }
  co_await m_link.Acquire(bytes);
  Release();
}

void UploadScheduler::Enqueue(const Digest& digest,
                              std::shared_ptr<Waiter> waiter) {
  std::lock_guard lock(m_mutex);
  if (!m_queues.contains(digest) && m_queues.size() >= kMaxQueues) {
    std::erase_if(m_queues, [](const auto& each) {
      return each.second.m_waiting.empty();
    });
  }
  waiter->m_request.m_id = ++m_next_id;
  decide::EnqueueUpload(m_queues[digest], waiter->m_request);
  m_waiters[m_next_id] = std::move(waiter);
  Grant();
}

void UploadScheduler::Release() {
  std::lock_guard lock(m_mutex);
  --m_busy;
  Grant();
}

void UploadScheduler::Grant() {
  for (auto& [digest, queue] : m_queues) {
    while (m_busy < kMaxConcurrentUploads) {
      const auto next = decide::DequeueUpload(queue);
      if (!next)
        break;
      ++m_busy;
      auto waiter = m_waiters[next->m_id];
      m_waiters.erase(next->m_id);
      asio::post(waiter->m_timer.get_executor(), [waiter] {
        waiter->m_granted = true;
        waiter->m_timer.cancel();
      });
    }
  }
}

}  // namespace verbenalead::daemon
