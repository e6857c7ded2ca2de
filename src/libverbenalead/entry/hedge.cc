#include "entry/hedge.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "base/log.h"
#include "base/spawn.h"
#include "decide/attempts/hedge.h"
#include "entry/crash_blame.h"
#include "entry/retry_attempt.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;
using decide::AttemptEnd;

constexpr int kOk = 200;
/// Pause before the next second attempt, after one that the limit on retries
/// denied or that failed.
constexpr Duration kRetryPause = 100ms;

Awaitable<void> WaitFor(asio::steady_timer& timer) {
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

Hedge::Hedge(const asio::any_io_executor& executor,
             CallServices services,
             std::shared_ptr<CallRecord> record,
             std::function<void()> on_ready)
    : m_services(services),
      m_record(std::move(record)),
      m_on_ready(std::move(on_ready)),
      m_silence_timer(executor),
      m_finished(executor) {
  m_finished.expires_at(TimePoint::max());
}

void Hedge::Watch() {
  Spawn(m_silence_timer.get_executor(), RunOwned(shared_from_this()), "hedge");
}

Awaitable<void> Hedge::RunOwned(std::shared_ptr<Hedge> self) {
  try {
    co_await self->Run();
  } catch (...) {
    self->m_finished.cancel();
    throw;
  }
  self->m_finished.cancel();
}

void Hedge::OnReplicaData() {
  if (!m_ready && m_attempt)
    m_attempt->Cancel();
}

void Hedge::Stop() {
  if (std::exchange(m_stopped, true))
    return;
  m_on_ready = nullptr;
  m_silence_timer.cancel();
  m_finished.cancel();
  if (m_ready)
    EndAttempt();
  else if (m_attempt)
    m_attempt->Cancel();
}

std::shared_ptr<CallAttempt> Hedge::TakeAttempt() {
  m_ready = false;
  m_stopped = true;
  return std::exchange(m_attempt, nullptr);
}

Awaitable<bool> Hedge::Finish() {
  if (m_stopped || !m_attempt || !m_attempt->sent()) {
    Stop();
    co_return false;
  }
  m_first_ended = true;
  if (!m_ready)
    co_await WaitFor(m_finished);
  co_return m_ready;
}

Awaitable<void> Hedge::Run() {
  bool more = true;
  while (more) {
    if (!co_await WaitForSilence())
      co_return;
    more = co_await AttemptOnce();
  }
}

Awaitable<bool> Hedge::WaitForSilence() {
  const CallTimes& times = m_record->m_times;
  while (!m_stopped && !m_first_ended) {
    const auto allowed =
        decide::HedgeDelay(m_record->m_progress, m_record->m_plan.m_route);
    const TimePoint now = Now();
    if (!allowed || now >= m_record->m_plan.m_deadline)
      co_return false;
    // While the caller is slow to read, this entry doesn't read from the
    // replica either, so the replica doesn't count as silent.
    const TimePoint due =
        (times.m_awaiting_data ? times.m_last_seen_at : now) + *allowed;
    if (now >= due)
      co_return true;
    m_silence_timer.expires_at(std::min(due, m_record->m_plan.m_deadline));
    co_await WaitFor(m_silence_timer);
  }
  co_return false;
}

Awaitable<bool> Hedge::AttemptOnce() {
  if (IsBlockedCall(m_services.m_state, m_record->m_plan))
    co_return false;
  if (!m_record->m_retries.TryTake(RetryPurpose::kHedge)) {
    Log("denied");
    co_await Pause();
    co_return true;
  }
  const auto second = std::make_shared<CallAttempt>(m_services, m_record);
  m_attempt = second;
  const std::function<void()> no_op = [] {};
  const bool sent = co_await SendRetry(m_services.m_state, *m_record, *second,
                                       m_record->m_plan.m_deadline, no_op);
  if (!sent || second->result().m_end == AttemptEnd::kUnreachable)
    m_record->m_retries.ReturnUnsent();
  bool usable = false;
  if (sent)
    usable = co_await CanReplaceFirst();
  if (usable) {
    Log("answered");
    m_ready = true;
    m_finished.cancel();
    if (const auto on_ready = std::exchange(m_on_ready, nullptr))
      on_ready();
    co_return false;
  }
  if (sent && second->result().m_end == AttemptEnd::kBroken)
    BlameCrash(m_services.m_state, *m_record, *second);
  EndAttempt();
  if (second->cancelled()) {
    Log("overtaken");
    co_return !m_stopped;
  }
  Log(sent ? "failed" : "no_place");
  if (!sent || m_first_ended)
    co_return false;
  co_await Pause();
  co_return true;
}

Awaitable<bool> Hedge::CanReplaceFirst() {
  AttemptResult& result = m_attempt->result();
  if (result.m_end != AttemptEnd::kGood || m_attempt->cancelled())
    co_return false;
  if (m_record->m_progress.m_kind != model::CallKind::kStream)
    co_return true;
  if (result.m_head.m_status != kOk) {
    result.m_end = AttemptEnd::kFailed;
    co_return false;
  }
  const auto attempt = m_attempt;
  co_await attempt->PrefetchBody();
  co_return result.m_end == AttemptEnd::kGood && !attempt->cancelled();
}

void Hedge::EndAttempt() {
  const auto dropped = std::exchange(m_attempt, nullptr);
  m_ready = false;
  dropped->End(dropped->cancelled() || m_stopped ? AttemptEnd::kAbandoned
                                                 : dropped->result().m_end);
}

Awaitable<void> Hedge::Pause() {
  m_silence_timer.expires_after(kRetryPause);
  co_await WaitFor(m_silence_timer);
}

void Hedge::Log(const char* outcome) const {
  const TimePoint now = Now();
  m_services.m_state.m_metrics.Count(
      "hedges_total", std::string("outcome=\"") + outcome + "\"");
  LogLine("hedge")
      .With("call", m_record->m_plan.m_call.m_id)
      .With("outcome", outcome)
      .With("events", m_record->m_events.m_events)
      .With("silent_ms", ToMilliseconds(now - m_record->m_times.m_last_seen_at))
      .With("left_ms", ToMilliseconds(m_record->Left(now)))
      .Info();
}

}  // namespace verbenalead::entry
