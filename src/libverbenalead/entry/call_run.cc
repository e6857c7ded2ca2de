#include "entry/call_run.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

#include "base/log.h"
#include "base/spawn.h"
#include "decide/attempts/hedge.h"
#include "decide/attempts/not_run_promise.h"
#include "decide/rollout/expected_return.h"
#include "entry/answer_buffer.h"
#include "entry/crash_blame.h"
#include "entry/retry_attempt.h"

namespace verbenalead::entry {
namespace {

using decide::AttemptEnd;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

CallRun::CallRun(CallServices services,
                 CallPlan plan,
                 const wire::Request& request,
                 wire::ResponseWriter& caller)
    : m_services(services),
      m_state(services.m_state),
      m_record(std::make_shared<CallRecord>(services.m_state,
                                            std::move(plan),
                                            request)),
      m_plan(m_record->m_plan),
      m_caller(caller, m_state, *m_record) {
  decide::CallProgress& progress = m_record->m_progress;
  progress.m_kind = m_plan.m_route.m_kind;
  progress.m_resumable = m_plan.m_route.m_resumable;
  progress.m_max_attempts = m_plan.m_route.m_max_attempts;
  decide::PoolCall& call = m_record->m_pool_call;
  call.m_can_be_on_time = m_plan.m_wait_limit.m_can_be_on_time;
  call.m_prompt_tokens = m_plan.m_call.m_prompt_tokens;
  if (!m_plan.m_model.empty() && m_plan.m_wait_limit.m_can_be_on_time)
    call.m_read_deadline =
        m_plan.m_started_at + m_plan.m_wait_limit.m_read_within;
  call.m_expected_run_time = m_plan.m_expected_run_time;
  call.m_rank = m_plan.m_rank;
  if (m_state.m_options.m_shares_organisations)
    call.m_organisation = m_plan.m_organisation;
  call.m_data_centers = m_plan.m_data_centers;
}

Awaitable<void> CallRun::Run() {
  m_executor = co_await boost::asio::this_coro::executor;
  m_caller.OnDisconnect([this] { CancelAll(); });
  try {
    co_await Answer();
  } catch (...) {
    m_caller.OnDisconnect(nullptr);
    CancelAll();
    throw;
  }
  m_caller.OnDisconnect(nullptr);
  StopHedge();
}

Awaitable<void> CallRun::Answer() {
  decide::CountCall(GetOrCreateService(m_state, m_plan.m_service).m_retries,
                    m_state.m_options.m_retries, Now());
  if (!m_plan.m_wait_limit.m_can_be_on_time &&
      decide::ShedsLateCalls(
          GetOrCreateService(m_state, m_plan.m_service).m_late_shedding,
          m_record->m_pool_call, Now())) {
    co_await Refuse(decide::Refusal::kFull);
    co_return;
  }
  bool ended = false;
  while (!ended) {
    const bool has_head = co_await GetAnswerHead();
    if (!has_head)
      co_return;
    const int status = result().m_head.m_status;
    ended = true;
    if (!m_caller.MaySend(status))
      co_await WithholdAnswer();
    else if (m_record->m_progress.m_kind == model::CallKind::kStream &&
             status == kOk)
      co_await AnswerStream();
    else
      ended = co_await AnswerWhole();
  }
}

Awaitable<void> CallRun::WithholdAnswer() {
  StopHedge();
  const int status = result().m_head.m_status;
  m_reason = WithheldReason(status);
  Spawn(m_executor, CallAttempt::DiscardAnswer(m_attempt), "discard_answer");
  const bool delivered = co_await m_caller.Send(wire::Response(status, {}, ""));
  LogCall(delivered ? "withheld" : "caller_gone", m_caller.sent_status());
}

Awaitable<bool> CallRun::GetAnswerHead() {
  TimePoint wait_until = std::min(
      m_plan.m_deadline, m_plan.m_started_at + m_plan.m_wait_limit.m_wait);
  while (true) {
    if (!co_await SendAttempt(wait_until, false)) {
      co_await EndWithoutAnswer();
      co_return false;
    }
    const AttemptEnd end = result().m_end;
    if (end == AttemptEnd::kGood)
      co_return true;
    if (m_caller.disconnected()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", 0);
      co_return false;
    }
    if (end == AttemptEnd::kBroken)
      BlameCrash(m_state, *m_record, *m_attempt);
    const bool retry = Left() > Duration() &&
                       decide::MayRetry(m_record->m_progress, end) &&
                       TryTakeRetryAfter(end);
    if (!retry && end == AttemptEnd::kFailed)
      co_return true;  // The replica's error response is passed to the caller.
    EndAttempt(end);
    if (!retry) {
      co_await EndWithoutAnswer();
      co_return false;
    }
    decide::PrepareRetry(
        m_record->m_pool_call,
        GetOrCreateService(m_state, m_plan.m_service).m_pool.m_prefill_rate,
        Now());
    wait_until = std::min(
        m_plan.m_deadline,
        std::max(wait_until, Now() + decide::RetryWait(m_record->m_progress)));
  }
}

Awaitable<bool> CallRun::SendAttempt(TimePoint wait_until, bool resumes) {
  if (m_caller.disconnected())
    co_return false;
  const TimePoint wait_began = Now();
  m_record->m_progress.m_answer_begun = false;
  m_attempt = std::make_shared<CallAttempt>(m_services, m_record);
  const std::function<void()> on_sent = [this, wait_began] {
    RecordSent(wait_began);
  };
  bool sent = false;
  if (resumes)
    sent =
        co_await SendRetry(m_state, *m_record, *m_attempt, wait_until, on_sent);
  else
    sent = co_await m_attempt->Send(wait_until, on_sent);
  if (!sent) {
    m_record->m_retries.ReturnUnsent();
    m_record->m_times.m_slot_wait += Now() - wait_began;
    co_return false;
  }
  const bool good = result().m_end == AttemptEnd::kGood;
  if (!good || IsHedgeReady()) {
    if (!co_await SwitchToHedge())
      StopHedge();
    co_return true;
  }
  m_record->m_progress.m_answer_begun = true;
  m_record->m_times.m_last_seen_at = Now();
  if (m_hedge)
    m_hedge->OnReplicaData();
  co_return true;
}

Awaitable<bool> CallRun::SwitchToHedge() {
  if (!m_hedge || m_caller.disconnected())
    co_return false;
  const std::shared_ptr<Hedge> hedge = m_hedge;
  const bool answers = co_await hedge->Finish();
  if (answers)
    PromoteHedge();
  co_return answers;
}

Awaitable<bool> CallRun::AnswerWhole() {
  StopHedge();
  wire::Response response{result().m_head.m_status, {}, ""};
  const AttemptEnd end = result().m_end;
  AnswerBuffer body(m_state.m_held_answer_bytes);
  bool complete = false;
  while (true) {
    auto piece = co_await m_attempt->ReadBody();
    complete = piece && !piece->has_value();
    if (!piece || complete)
      break;
    if (!body.TryAppend(**piece)) {
      RecordTooLong("the answer is too long");
      break;
    }
  }
  if (!complete) {
    // Part of an answer is never delivered, since the caller could not tell it
    // from a complete one.
    if (m_caller.disconnected()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", 0);
      co_return true;
    }
    BlameCrash(m_state, *m_record, *m_attempt);
    const bool retry =
        Left() > Duration() &&
        decide::MayRetry(m_record->m_progress, AttemptEnd::kBroken) &&
        TryTakeRetryAfter(AttemptEnd::kBroken);
    EndAttempt(AttemptEnd::kBroken);
    if (!retry)
      co_await EndWithoutAnswer();
    co_return !retry;
  }
  response.m_body = body.Take();
  response.m_headers =
      platform::EncodeForCaller(std::move(result().m_head)).m_headers;
  RecordWholeAnswer(m_state, *m_record);
  EndAttempt(end);
  const int status = response.m_status;
  const bool delivered = co_await m_caller.Send(std::move(response));
  LogCall(delivered ? "delivered" : "caller_gone", status);
  co_return true;
}

Awaitable<void> CallRun::EndWithoutAnswer() {
  if (m_caller.disconnected()) {
    LogCall("caller_gone", 0);
    co_return;
  }
  if (decide::MayHaveRun(m_record->m_progress)) {
    co_await SendRefusal(m_caller.FailureStatus(),
                         "the call may have run; no answer of it came back",
                         Duration());
    co_return;
  }
  if (IsBlockedCall(m_state, m_plan)) {
    co_await SendRefusal(
        kUnavailable, CrashReason(m_state, m_plan),
        decide::RetryAfter(decide::Refusal::kCrashes, m_state.m_random));
    co_return;
  }
  const decide::ReplicaPool& pool =
      GetOrCreateService(m_state, m_plan.m_service).m_pool;
  const decide::PoolCall& call = m_record->m_pool_call;
  const decide::Exclusion exclusion = decide::ExclusionOf(pool, call);
  if (exclusion != decide::Exclusion::kNone) {
    co_await Refuse(exclusion == decide::Exclusion::kRegions
                        ? decide::Refusal::kRegions
                        : decide::Refusal::kEvacuation);
    co_return;
  }
  const bool usable = decide::HasUsableReplica(pool, call, Now());
  if (usable && m_plan.m_wait_limit.m_can_be_on_time)
    decide::NoteOnTimeRefusal(
        GetOrCreateService(m_state, m_plan.m_service).m_late_shedding, call,
        Now());
  const auto wait = decide::WaitForReplica(pool, call, Now());
  if (wait) {
    co_await RefuseUntil(
        wait->m_rests ? decide::Refusal::kRest : decide::Refusal::kRateLimit,
        wait->m_left);
    co_return;
  }
  if (usable) {
    NoteFull();
    co_await Refuse(decide::Refusal::kFull);
    co_return;
  }
  const auto loads = decide::WaitForLoads(pool, LoadTime(), Now());
  if (loads)
    co_await RefuseUntil(decide::Refusal::kLoading, *loads);
  else
    co_await Refuse(decide::Refusal::kNoReplica);
}

Duration CallRun::LoadTime() const {
  const model::Service* service =
      m_state.m_routes ? m_state.m_routes->FindService(m_plan.m_service)
                       : nullptr;
  return service && service->m_engine ? service->m_engine->m_load : Duration();
}

void CallRun::NoteFull() {
  ServiceState& service = GetOrCreateService(m_state, m_plan.m_service);
  decide::NoteRefusal(service.m_overload, Now());
  if (m_record->m_pool_call.m_rank)
    decide::NoteUnserved(service.m_pool.m_rank_floor,
                         *m_record->m_pool_call.m_rank, 1, Now());
}

Awaitable<void> CallRun::Refuse(decide::Refusal refusal) {
  Duration delay;
  if (refusal == decide::Refusal::kFull &&
      decide::IsRefusedEarly(m_record->m_pool_call))
    delay = OverloadDelay();
  else
    delay = decide::RetryAfter(refusal, m_state.m_random);
  const std::string reason =
      std::string("not run: ") + decide::ToString(refusal);
  co_await SendRefusal(kUnavailable, reason, delay);
}

Duration CallRun::OverloadDelay() {
  const ServiceState& service = GetOrCreateService(m_state, m_plan.m_service);
  const auto expected = decide::ExpectedOverload(
      service.m_overload, service.m_pool.m_waiting.size(), Now());
  return decide::RetryAfterOverload(
      expected, static_cast<size_t>(m_plan.m_rank.value_or(0)),
      m_plan.m_rank_count, m_state.m_random);
}

Awaitable<void> CallRun::RefuseUntil(decide::Refusal refusal, Duration wait) {
  co_await SendRefusal(kUnavailable,
                       std::string("not run: ") + decide::ToString(refusal),
                       wait + decide::RetryAfter(refusal, m_state.m_random));
}

Awaitable<void> CallRun::SendRefusal(int status,
                                     const std::string& reason,
                                     Duration retry_after) {
  m_reason = reason;
  const bool delivered = co_await m_caller.Send(
      platform::EncodeRefusal(status, m_plan.m_call.m_id, reason, retry_after));
  const char* outcome = status == kUnavailable ? "refused" : "unknown";
  LogCall(delivered ? outcome : "caller_gone", status);
}

void CallRun::RecordSent(TimePoint wait_began) {
  const TimePoint now = Now();
  m_record->m_times.m_slot_wait += now - wait_began;
  if (m_record->m_attempts == 1)
    NoteSlot(now);
  StartAwaitingData(m_record->m_times, now);
  StartHedge();
}

void CallRun::NoteSlot(TimePoint now) {
  const decide::PoolCall& call = m_record->m_pool_call;
  ServiceState& service = GetOrCreateService(m_state, m_plan.m_service);
  decide::NoteStart(service.m_overload, now);
  if (call.m_rank)
    decide::NoteGranted(service.m_pool.m_rank_floor, *call.m_rank, now);
  if (call.m_organisation)
    decide::NoteTime(service.m_use, *call.m_organisation,
                     call.m_expected_run_time, now);
}

void CallRun::StartHedge() {
  StopHedge();
  if (!decide::HedgeDelay(m_record->m_progress, m_plan.m_route))
    return;
  const std::weak_ptr<CallAttempt> first = m_attempt;
  const auto on_ready = [first] {
    if (const auto unresponsive = first.lock())
      unresponsive->Cancel();
  };
  m_hedge = std::make_shared<Hedge>(m_executor, m_services, m_record, on_ready);
  m_hedge->Watch();
}

void CallRun::StopHedge() {
  if (m_hedge)
    m_hedge->Stop();
  m_hedge.reset();
}

void CallRun::PromoteHedge() {
  EndAttempt(AttemptEnd::kBroken);
  m_attempt = m_hedge->TakeAttempt();
  m_hedge.reset();
  m_record->m_progress.m_answer_begun = true;
  m_record->m_times.m_last_seen_at = Now();
  StartHedge();
}

void CallRun::CancelAll() {
  StopHedge();
  if (m_attempt)
    m_attempt->Cancel();
}

void CallRun::EndAttempt(AttemptEnd end) {
  m_reason = result().m_reason;
  m_failure = result().m_failure;
  m_attempt->End(end);
}

void CallRun::RecordTooLong(const std::string& reason) {
  result().m_reason = reason;
  result().m_failure = FailureCode::kCorrupt;
  m_state.m_metrics.Count("answers_too_long_total", "");
}

bool CallRun::TryTakeRetryAfter(AttemptEnd end) {
  // An attempt that reached no replica caused no load, so another one isn't
  // counted as a retry.
  if (IsBlockedCall(m_state, m_plan))
    return false;
  return end == AttemptEnd::kUnreachable ||
         m_record->m_retries.TryTake(m_record->m_events.m_events > 0
                                         ? RetryPurpose::kResume
                                         : RetryPurpose::kRetry);
}

}  // namespace verbenalead::entry
