#include "daemon/pool_router.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead::daemon {

namespace asio = boost::asio;

/// A coroutine that waits for its action on its own thread.
struct PoolRouter::Waiter {
  explicit Waiter(const asio::any_io_executor& executor)
      : m_event(executor, TimePoint::max()) {}

  asio::steady_timer m_event;
  std::optional<decide::AdmitAction> m_action;
};

Awaitable<decide::AdmitAction> PoolRouter::Admit(model::Call call) {
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  {
    std::lock_guard lock(m_mutex);
    m_waiters[call.id()] = waiter;
    m_admit.m_capacity = decide::UsableCapacity(m_place, Now());
    Deliver(decide::Arrive(m_admit, call, Now()));
  }
  while (!waiter->m_action) {
    boost::system::error_code ignored;
    co_await waiter->m_event.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *waiter->m_action;
}

void PoolRouter::Deliver(const std::vector<decide::AdmitAction>& actions) {
  for (const decide::AdmitAction& action : actions) {
    auto found = m_waiters.find(action.m_call);
    if (found == m_waiters.end())
      continue;
    asio::post(found->second->m_event.get_executor(),
               [waiter = found->second, action] {
                 waiter->m_action = action;
                 waiter->m_event.cancel();
               });
    m_waiters.erase(found);
  }
}

void PoolRouter::Finish() {
  std::lock_guard lock(m_mutex);
  Deliver(decide::Finish(m_admit, Now()));
}

std::optional<decide::Placement> PoolRouter::Place(
    const model::Call& call,
    const std::set<std::string>& tried) {
  std::lock_guard lock(m_mutex);
  auto placement = decide::Place(m_place, call, tried, Now());
  if (placement)
    decide::AttemptSent(m_place, placement->m_target);
  return placement;
}

void PoolRouter::AttemptEnded(const std::string& target, bool broken) {
  std::lock_guard lock(m_mutex);
  decide::AttemptEnded(m_place, target, broken, Now());
}

void PoolRouter::Report(const model::TargetReport& report) {
  std::lock_guard lock(m_mutex);
  decide::Report(m_place, report, Now());
}

void PoolRouter::RemoveTarget(const std::string& target) {
  std::lock_guard lock(m_mutex);
  decide::RemoveTarget(m_place, target);
}

void PoolRouter::Tick() {
  std::lock_guard lock(m_mutex);
  const TimePoint now = Now();
  Deliver(decide::Tick(m_admit, decide::UsableCapacity(m_place, now), now));
}

std::vector<model::TargetReport> PoolRouter::Targets() const {
  std::lock_guard lock(m_mutex);
  std::vector<model::TargetReport> reports;
  for (const auto& [name, target] : m_place.m_targets)
    reports.push_back(target.m_report);
  return reports;
}

}  // namespace verbenalead::daemon
