#include "base/pacer.h"

#include <algorithm>

#include "base/sleep.h"

namespace verbenalead {

Awaitable<void> Pacer::Acquire(uint64_t bytes) {
  if (m_rate == 0)
    co_return;
  TimePoint until;
  {
    std::lock_guard lock(m_mutex);
    const auto needed =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(bytes) / static_cast<double>(m_rate)));
    m_free_at = std::max(m_free_at, Now() - m_credit) + needed;
    until = m_free_at;
  }
  const TimePoint now = Now();
  if (until > now)
    co_await Sleep(until - now);
}

}  // namespace verbenalead
