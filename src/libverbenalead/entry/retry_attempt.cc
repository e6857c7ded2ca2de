#include "entry/retry_attempt.h"

#include <algorithm>

#include "base/log.h"

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

const char* ToString(RetryPurpose purpose) {
  switch (purpose) {
    case RetryPurpose::kRetry:
      return "retry";
    case RetryPurpose::kResume:
      return "resume";
    case RetryPurpose::kHedge:
      return "hedge";
  }
  return "unknown";
}

}  // namespace

bool TryTakeRetry(EntryState& state,
                  const CallRecord& record,
                  RetryPurpose purpose) {
  const std::string& service = record.m_plan.m_service;
  const uint32_t entries = MaxExistingEntries(state);
  const decide::RetryDecision decision =
      decide::TryTakeRetry(GetOrCreateService(state, service).m_retries,
                           state.m_options.m_retries, entries, Now());
  const std::string label = "service=\"" + service + "\"";
  state.m_metrics.Count(
      decision.m_allowed ? "repeats_total" : "repeats_denied_total", "");
  state.m_metrics.Set("repeats_in_window", label, decision.m_retries);
  state.m_metrics.Set("repeats_limit", label, decision.m_limit);
  LogLine("retry")
      .With("call", record.m_plan.m_call.m_id)
      .With("service", service)
      .With("purpose", ToString(purpose))
      .With("allowed", decision.m_allowed)
      .With("calls", uint64_t{decision.m_calls})
      .With("retries", uint64_t{decision.m_retries})
      .With("limit", decision.m_limit)
      .With("window_ms", ToMilliseconds(decision.m_age))
      .With("entries", uint64_t{entries})
      .Info();
  return decision.m_allowed;
}

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
  const bool ended = attempt.cancelled() || record.Left(Now()) <= Duration();
  if (!sent && !ended) {
    PrepareNextAttempt(state, record);
    sent = co_await attempt.Send(wait_until, on_sent);
  }
  co_return sent;
}

}  // namespace verbenalead::entry
