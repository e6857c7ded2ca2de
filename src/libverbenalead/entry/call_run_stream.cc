#include <algorithm>

#include "entry/call_run.h"
#include "wire/cancel_when_gone.h"

// The part of a call that concerns answers in events.

namespace verbenalead::entry {
namespace {

using decide::AttemptEnd;

constexpr int kOk = 200;

/// Longer than the question to a target takes: the call waited for a place.
constexpr Duration kWaited = 20ms;

}  // namespace

Awaitable<void> CallRun::AnswerStream() {
  const wire::ResponseHead head =
      platform::EncodeForCaller(std::move(m_attempt.m_head));
  m_attempt.m_head = head;
  while (true) {
    if (co_await RelayEvents()) {
      EndAttempt(AttemptEnd::kGood);
      decide::NoteSuccess(m_state.m_crashes, m_plan.m_fingerprint, Now());
      // A caller that goes on after the last event gets a stream without any.
      if (!m_head_sent)
        co_await m_caller.Start(head);
      const bool delivered = co_await m_caller.Finish({});
      LogCall(delivered ? "delivered" : "caller_gone", kOk);
      co_return;
    }
    if (m_caller.gone()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", kOk);
      co_return;
    }
    NoteBreak();
    LogAttempt(AttemptEnd::kBroken);
    const bool again = Left() > Duration() &&
                       decide::MayTryAgain(m_progress, AttemptEnd::kBroken) &&
                       TakeRepeat(AttemptEnd::kBroken);
    EndAttempt(AttemptEnd::kBroken);
    if (again && co_await Resume()) {
      m_attempt.m_head = head;
      continue;
    }
    if (!m_head_sent && !m_caller.gone())
      co_await GiveUp();
    else
      LogCall("cut", kOk);
    co_return;
  }
}

Awaitable<bool> CallRun::RelayEvents() {
  decide::DropPartial(m_events);
  while (true) {
    const TimePoint deadline =
        std::min(m_plan.m_deadline, Now() + decide::kStreamGap);
    AsyncResult<std::optional<std::string>> piece = Failure();
    {
      const wire::CancelWhenGone cancel(m_caller, *m_attempt.m_reader);
      piece = co_await m_attempt.m_reader->ReadBody(deadline);
    }
    if (!piece) {
      m_attempt.m_failure = piece.error().m_code;
      m_attempt.m_reason = Left() <= Duration()
                               ? "the time of the caller or the route is over"
                               : ToString(piece.error());
      co_return false;
    }
    if (!piece->has_value()) {
      if (m_events.m_partial.empty())
        co_return true;
      m_attempt.m_reason = "the stream ends inside an event";
      co_return false;
    }
    std::string events = decide::TakeEvents(m_events, **piece);
    if (events.empty())
      continue;
    NoteEvent(m_times, m_plan.m_began, Now());
    if (!m_head_sent) {
      m_head_sent = true;
      LearnFromFirstEvent();
      m_state.m_metrics.Observe(
          "first_event_seconds", "",
          std::chrono::duration<double>(*m_times.m_first_event).count());
      if (!co_await m_caller.Start(m_attempt.m_head))
        co_return false;
    }
    if (!co_await m_caller.Write(std::move(events)))
      co_return false;
  }
}

void CallRun::LearnFromFirstEvent() {
  // One that found a place at once had time to spare, and one that went to
  // another replica says nothing of the time that a replica needs.
  if (!m_plan.m_patience.m_fresh || m_attempts > 1 ||
      m_times.m_waited < kWaited)
    return;
  decide::NoteFirstEvent(StateOf(m_state, m_plan.m_service).m_patience,
                         *m_times.m_first_event > m_plan.m_route.m_objective);
}

Awaitable<bool> CallRun::SendAgain() {
  m_pool_call.m_fresh = true;  // Its caller waits for the next event.
  m_pool_call.m_read_by = Now() + decide::kResumeWithin;
  PrepareRepeat();
  const TimePoint begun = Now();
  if (co_await SendOnce(
          std::min(m_plan.m_deadline, begun + decide::kRepeatWait)))
    co_return true;
  if (m_caller.gone() || Left() <= Duration())
    co_return false;
  PrepareRepeat();
  co_return co_await SendOnce(
      std::min(m_plan.m_deadline, begun + decide::RepeatWait(m_progress)));
}

Awaitable<bool> CallRun::Resume() {
  while (true) {
    if (!co_await SendAgain())
      co_return false;
    const AttemptEnd end = m_attempt.m_end;
    if (end == AttemptEnd::kGood && m_attempt.m_head.m_status == kOk)
      co_return true;
    EndAttempt(m_caller.gone() ? AttemptEnd::kAbandoned : end);
    if (m_caller.gone() || Left() <= Duration() ||
        !decide::MayTryAgain(m_progress, end) || !TakeRepeat(end))
      co_return false;
  }
}

}  // namespace verbenalead::entry
