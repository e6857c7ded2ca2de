#include "entry/place_waiter.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace verbenalead::entry {

namespace asio = boost::asio;

struct PlaceWaiter::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : m_timer(executor) {}

  asio::steady_timer m_timer;
  std::optional<std::string> m_replica;
};

Awaitable<std::optional<std::string>> PlaceWaiter::Take(std::string service,
                                                        decide::PoolCall call,
                                                        TimePoint deadline) {
  while (true) {
    auto replica = co_await TakeOrWait(service, call, deadline);
    if (!replica)
      co_return replica;
    const bool granted = co_await m_asker.Ask(service, *replica, call);
    if (granted)
      co_return replica;
    // The answer brought what the target knows, so that another replica is
    // chosen now.
    decide::ReplicaPool& pool = StateOf(m_state, service).m_pool;
    decide::NoteBegun(pool, *replica, call.m_prompt_tokens);
    decide::Release(pool, *replica, decide::AttemptEnd::kNotRun, Now());
    m_state.m_metrics.Count("places_denied_total", "");
  }
}

Awaitable<std::optional<std::string>> PlaceWaiter::TakeOrWait(
    std::string service,
    decide::PoolCall call,
    TimePoint deadline) {
  decide::ReplicaPool& pool = StateOf(m_state, service).m_pool;
  auto replica = decide::TakePlace(pool, call, Now(), m_state.m_random);
  if (replica || deadline <= Now())
    co_return replica;
  const uint64_t ticket = call.m_ticket;
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  waiter->m_timer.expires_at(deadline);
  m_waiters[ticket] = waiter;
  decide::Wait(pool, std::move(call));
  boost::system::error_code ignored;
  co_await waiter->m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  m_waiters.erase(ticket);
  if (!waiter->m_replica)
    decide::StopWaiting(StateOf(m_state, service).m_pool, ticket);
  co_return waiter->m_replica;
}

void PlaceWaiter::Cancel(uint64_t ticket) {
  const auto found = m_waiters.find(ticket);
  if (found != m_waiters.end())
    found->second->m_timer.cancel();
}

void PlaceWaiter::Release(const std::string& service,
                          const std::string& replica,
                          decide::AttemptEnd end) {
  decide::ReplicaPool& pool = StateOf(m_state, service).m_pool;
  decide::Release(pool, replica, end, Now());
  const auto found = pool.m_replicas.find(replica);
  if (found != pool.m_replicas.end() && pool.m_prefill_rate > 0)
    m_on_change(found->second);
  Wake(service);
}

void PlaceWaiter::Wake(const std::string& service) {
  decide::ReplicaPool& pool = StateOf(m_state, service).m_pool;
  if (pool.m_waiting.empty())
    return;
  for (const decide::PoolStart& start :
       decide::StartWaiting(pool, Now(), m_state.m_random)) {
    const auto found = m_waiters.find(start.m_ticket);
    if (found == m_waiters.end()) {
      decide::Release(pool, start.m_replica, decide::AttemptEnd::kAbandoned,
                      Now());
      continue;
    }
    found->second->m_replica = start.m_replica;
    found->second->m_timer.cancel();
  }
}

void PlaceWaiter::WakeAll() {
  for (const auto& [service, state] : m_state.m_services)
    Wake(service);
}

}  // namespace verbenalead::entry
