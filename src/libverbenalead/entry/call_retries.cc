#include "entry/call_retries.h"

#include <utility>

#include "base/log.h"
#include "base/metric_label.h"

namespace verbenalead::entry {
namespace {

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

CallRetries::CallRetries(EntryState& state,
                         std::string service,
                         std::string call)
    : m_state(state), m_service(std::move(service)), m_call(std::move(call)) {}

CallRetries::~CallRetries() {
  while (m_unsent > 0)
    ReturnUnsent();
  SettleSent();
}

bool CallRetries::TryTake(RetryPurpose purpose) {
  const uint32_t entries = MaxExistingEntries(m_state);
  const decide::RetryDecision decision = decide::TryTakeRetry(
      window(), m_state.m_options.m_retries, entries, Now());
  const std::string label = MetricLabel("service", m_service);
  m_state.m_metrics.Count(
      decision.m_allowed ? "repeats_total" : "repeats_denied_total", "");
  m_state.m_metrics.Set("repeats_in_window", label, decision.m_retries);
  m_state.m_metrics.Set("repeats_limit", label, decision.m_limit);
  LogLine("retry")
      .With("call", m_call)
      .With("service", m_service)
      .With("purpose", ToString(purpose))
      .With("allowed", decision.m_allowed)
      .With("calls", uint64_t{decision.m_calls})
      .With("retries", uint64_t{decision.m_retries})
      .With("pending", uint64_t{window().m_pending})
      .With("limit", decision.m_limit)
      .With("window_ms", ToMilliseconds(decision.m_age))
      .With("entries", uint64_t{entries})
      .Info();
  m_unsent += decision.m_allowed ? 1 : 0;
  return decision.m_allowed;
}

void CallRetries::ReturnUnsent() {
  if (m_unsent == 0)
    return;
  --m_unsent;
  decide::ReturnRetry(window());
}

void CallRetries::NoteSent() {
  ++m_open_attempts;
  if (m_unsent == 0)
    return;
  --m_unsent;
  ++m_sent;
}

void CallRetries::NoteUnreachable() {
  if (m_sent > 0) {
    --m_sent;
    ++m_unsent;
  }
  NoteSettled();
}

void CallRetries::NoteSettled() {
  if (--m_open_attempts == 0)
    SettleSent();
}

decide::RetryWindow& CallRetries::window() {
  return GetOrCreateService(m_state, m_service).m_retries;
}

void CallRetries::SettleSent() {
  for (; m_sent > 0; --m_sent)
    decide::SettleRetry(window(), m_state.m_options.m_retries, Now());
}

}  // namespace verbenalead::entry
