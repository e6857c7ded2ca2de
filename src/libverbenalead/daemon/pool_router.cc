#include "daemon/pool_router.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/sleep.h"
#include "base/spawn.h"

namespace verbenalead::daemon {

namespace asio = boost::asio;

/// A coroutine that waits for its action. The action is delivered on the
/// coroutine's own executor.
struct PoolRouter::Waiter {
  explicit Waiter(const asio::any_io_executor& executor)
      : m_event(executor, TimePoint::max()) {}

  asio::steady_timer m_event;
  std::optional<decide::AdmissionAction> m_action;
};

// Each process has its own random seed. With equal seeds all entries would
// choose the same targets at the same time.
PoolRouter::PoolRouter(size_t entries) : m_random(std::random_device()()) {
  SetEntryCount(entries);
}

void PoolRouter::SetEntryCount(size_t entries) {
  std::lock_guard lock(m_mutex);
  m_admit.m_entries = static_cast<uint32_t>(std::max<size_t>(entries, 1));
}

Awaitable<decide::AdmissionAction> PoolRouter::Admit(model::Call call) {
  const auto executor = co_await asio::this_coro::executor;
  auto waiter = std::make_shared<Waiter>(executor);
  bool start_sweep = false;
  {
    std::lock_guard lock(m_mutex);
    const TimePoint now = Now();
    const uint64_t ticket = ++m_last_ticket;
    m_waiters[ticket] = waiter;
    decide::CountFirstAttempt(m_budget);
    Deliver(decide::UpdateCapacity(
        m_admit, decide::UsableCapacity(m_selection, now), now));
    Deliver(decide::CallArrived(m_admit, ticket, call, now));
    start_sweep = TryStartSweep();
  }
  if (start_sweep)
    Spawn(executor, Sweep(), "sweep");
  while (!waiter->m_action) {
    boost::system::error_code ignored;
    co_await waiter->m_event.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *waiter->m_action;
}

bool PoolRouter::TryStartSweep() {
  if (m_sweeping || m_admit.m_waiting == 0)
    return false;
  m_sweeping = true;
  return true;
}

Awaitable<void> PoolRouter::Sweep() {
  bool calls_waiting = true;
  while (calls_waiting) {
    co_await Sleep(decide::kDeadlineScanInterval);
    Tick();
    std::lock_guard lock(m_mutex);
    calls_waiting = m_sweeping = m_admit.m_waiting > 0;
  }
}

void PoolRouter::Deliver(const std::vector<decide::AdmissionAction>& actions) {
  for (const decide::AdmissionAction& action : actions) {
    auto found = m_waiters.extract(action.m_ticket);
    if (found.empty())
      continue;
    const auto waiter = found.mapped();
    asio::post(waiter->m_event.get_executor(), [waiter, action] {
      waiter->m_action = action;
      waiter->m_event.cancel();
    });
  }
}

void PoolRouter::Finish(const model::Call& call,
                        std::optional<Duration> elapsed) {
  std::lock_guard lock(m_mutex);
  Deliver(
      decide::CallFinished(m_admit, decide::WorkUnits(call), elapsed, Now()));
}

std::optional<decide::Placement> PoolRouter::ChooseTarget(
    const model::Call& call,
    const std::set<std::string>& tried,
    Duration waited) {
  std::lock_guard lock(m_mutex);
  const TimePoint now = Now();
  auto placement =
      decide::ChooseTarget(m_selection, call, tried, waited, now, m_random);
  if (placement)
    decide::AttemptSent(m_selection, placement->m_target, call, now);
  return placement;
}

void PoolRouter::AttemptEnded(const std::string& target,
                              const model::Call& call,
                              decide::TargetFeedback feedback,
                              Duration elapsed,
                              std::optional<uint32_t> running) {
  std::lock_guard lock(m_mutex);
  const TimePoint now = Now();
  decide::AttemptEnded(m_selection, target, call, feedback, elapsed, now);
  if (running)
    decide::LoadObserved(m_selection, target, *running, now);
}

decide::RetryDecision PoolRouter::DecideRetry(
    const model::Call& call,
    const decide::FinishedAttempt& attempt) {
  std::lock_guard lock(m_mutex);
  return decide::DecideRetry(call, attempt, m_budget, Now());
}

bool PoolRouter::RecordTargetsFull() {
  std::lock_guard lock(m_mutex);
  const TimePoint now = Now();
  decide::LowerConcurrencyLimit(m_admit, now);
  return decide::UsableCapacity(m_selection, now) > 0;
}

void PoolRouter::ApplyReport(const model::TargetReport& report) {
  std::lock_guard lock(m_mutex);
  decide::ApplyReport(m_selection, report, Now());
}

void PoolRouter::RemoveTarget(const std::string& target) {
  std::lock_guard lock(m_mutex);
  decide::RemoveTarget(m_selection, target);
}

void PoolRouter::Tick() {
  std::lock_guard lock(m_mutex);
  const TimePoint now = Now();
  Deliver(decide::UpdateCapacity(
      m_admit, decide::UsableCapacity(m_selection, now), now));
}

std::vector<model::TargetReport> PoolRouter::Targets() const {
  std::lock_guard lock(m_mutex);
  std::vector<model::TargetReport> reports;
  for (const decide::TargetView& target : m_selection.m_targets)
    reports.push_back(target.m_report);
  return reports;
}

}  // namespace verbenalead::daemon
