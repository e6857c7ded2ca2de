#include <algorithm>

#include "entry/call_run.h"
#include "entry/retry_attempt.h"

// The members of CallRun that handle streamed answers (server-sent events).
#include "entry/crash_blame.h"

namespace verbenalead::entry {
namespace {

using decide::AttemptEnd;

constexpr int kOk = 200;

/// Least wait that shows that no slot was free at once. A shorter one may be
/// just the request to a target, which takes less than this.
constexpr Duration kMinSlotWait = 20ms;

/// Longest event of a stream, which holds a few tokens.
constexpr size_t kMaxEventBytes = 64 * 1024;

constexpr char kDeadlineReason[] =
    "the time of the caller or the route is over";

}  // namespace

Awaitable<void> CallRun::AnswerStream() {
  m_head = platform::EncodeForCaller(std::move(result().m_head));
  while (true) {
    if (co_await RelayEvents()) {
      EndAttempt(AttemptEnd::kGood);
      RecordWholeAnswer(m_state, *m_record);
      // A caller that resumes after the last event gets a stream without
      // events; it still needs a head.
      if (!m_head_sent)
        co_await m_caller.Start(m_head);
      const bool delivered = co_await m_caller.Finish();
      LogCall(delivered ? "delivered" : "caller_gone", kOk);
      co_return;
    }
    if (!m_caller.disconnected()) {
      BlameCrash(m_state, *m_record, *m_attempt);
      m_attempt->Log(AttemptEnd::kBroken, result().m_reason);
      if (co_await SwitchToHedge())
        continue;
    }
    if (m_caller.disconnected()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", kOk);
      co_return;
    }
    const bool retry =
        Left() > Duration() &&
        decide::MayRetry(m_record->m_progress, AttemptEnd::kBroken) &&
        TryTakeRetryAfter(AttemptEnd::kBroken);
    EndAttempt(AttemptEnd::kBroken);
    if (retry && co_await Resume())
      continue;
    if (!m_head_sent && !m_caller.disconnected())
      co_await EndWithoutAnswer();
    else
      LogCall("cut", kOk);
    co_return;
  }
}

Awaitable<bool> CallRun::RelayEvents() {
  decide::EventSplitter& events = m_record->m_events;
  CallTimes& times = m_record->m_times;
  decide::DiscardPartialEvent(events);
  while (true) {
    StartAwaitingData(times, Now());
    auto piece = co_await m_attempt->ReadBody();
    times.m_awaiting_data = false;
    const bool ended = piece && !piece->has_value();
    if (ended && events.m_partial.empty())
      co_return true;
    if (IsHedgeReady()) {
      PromoteHedge();
      decide::DiscardPartialEvent(events);
      continue;
    }
    if (ended)
      result().m_reason = "the stream ends inside an event";
    else if (!piece && Left() <= Duration())
      result().m_reason = kDeadlineReason;
    if (ended || !piece)
      co_return false;
    std::string complete_events = decide::ExtractEvents(events, **piece);
    if (events.m_partial.size() > kMaxEventBytes) {
      RecordTooLong("an event is too long");
      co_return false;
    }
    if (complete_events.empty())
      continue;
    RecordEvent(times, m_plan.m_started_at, Now());
    m_attempt->NoteEvent();
    if (m_hedge)
      m_hedge->OnReplicaData();
    if (!m_head_sent) {
      m_head_sent = true;
      RecordFirstEventLateness();
      m_state.m_metrics.Observe(
          "first_event_seconds", "",
          std::chrono::duration<double>(*times.m_first_event).count());
      if (!co_await m_caller.Start(m_head))
        co_return false;
    }
    if (!co_await m_caller.Write(std::move(complete_events)))
      co_return false;
  }
}

void CallRun::RecordFirstEventLateness() {
  // Only on-time calls that waited for a slot and were sent once are counted. A
  // call that got a slot at once had time to spare, and the time of a call with
  // several attempts isn't the time that one replica needs.
  const CallTimes& times = m_record->m_times;
  if (!m_plan.m_wait_limit.m_can_be_on_time || m_record->m_attempts > 1 ||
      times.m_slot_wait < kMinSlotWait)
    return;
  decide::NoteFirstEvent(
      GetOrCreateService(m_state, m_plan.m_service).m_wait_share,
      *times.m_first_event > m_plan.m_route.m_objective);
}

Awaitable<bool> CallRun::Resume() {
  while (true) {
    const TimePoint until = std::min(
        m_plan.m_deadline, Now() + decide::RetryWait(m_record->m_progress));
    if (!co_await SendAttempt(until, true))
      co_return false;
    const AttemptEnd end = result().m_end;
    if (end == AttemptEnd::kGood && result().m_head.m_status == kOk)
      co_return true;
    EndAttempt(m_caller.disconnected() ? AttemptEnd::kAbandoned : end);
    if (m_caller.disconnected() || Left() <= Duration() ||
        !decide::MayRetry(m_record->m_progress, end) || !TryTakeRetryAfter(end))
      co_return false;
  }
}

}  // namespace verbenalead::entry
