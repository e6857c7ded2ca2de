#include "entry/retry_attempt.h"

#include <algorithm>

namespace verbenalead::entry {
namespace {

/// Time within which the replica that resumes a stream should have read the
/// prompt and all prompts before it. Even with one engine pass before and one
/// after that, the pause in the stream is short enough to count as on time.
constexpr Duration kResumeReadLimit = 300ms;

/// Marks the call as late, before its next attempt, if its prompt can no longer
/// be read in time.
void PrepareNextAttempt(EntryState& state, CallRecord& record) {
  decide::PrepareRetry(
      record.m_pool_call,
      GetOrCreateService(state, record.m_plan.m_service).m_pool.m_prefill_rate,
      Now());
}

}  // namespace

Awaitable<bool> SendRetry(EntryState& state,
                          CallRecord& record,
                          CallAttempt& attempt,
                          TimePoint wait_until,
                          const std::function<void()>& on_sent) {
  if (record.m_events.m_events > 0) {
    // The stream has begun and its caller waits for the next event, so the call
    // gets a slot as one that can be on time.
    record.m_pool_call.m_can_be_on_time = true;
    record.m_pool_call.m_read_deadline = Now() + kResumeReadLimit;
  }
  PrepareNextAttempt(state, record);
  const TimePoint on_time_until = Now() + decide::kRetryWait;
  bool sent =
      co_await attempt.Send(std::min(wait_until, on_time_until), on_sent);
  const bool ended = attempt.cancelled() || attempt.blocked() ||
                     record.Left(Now()) <= Duration();
  if (!sent && !ended) {
    PrepareNextAttempt(state, record);
    sent = co_await attempt.Send(wait_until, on_sent);
  }
  co_return sent;
}

}  // namespace verbenalead::entry
