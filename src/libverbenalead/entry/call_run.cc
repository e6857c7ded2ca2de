#include "entry/call_run.h"

#include <algorithm>

#include "base/log.h"
#include "wire/cancel_when_gone.h"

namespace verbenalead::entry {
namespace {

using decide::AttemptEnd;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// A replica stops work this much before the caller gives up, so that its
/// verdict still gets back.
constexpr Duration kReplicaMargin = 20ms;

const char* ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kGood:
      return "answered";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kWrongHost:
      return "wrong_incarnation";
    case AttemptEnd::kUnreachable:
      return "unreachable";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

constexpr char kCut[] = "cut";

int64_t MillisecondsSince(TimePoint then) {
  return ToMilliseconds(Now() - then);
}

}  // namespace

CallRun::CallRun(EntryState& state,
                 PlaceWaiter& places,
                 wire::Client& http,
                 Plan plan,
                 const wire::Request& request,
                 wire::ResponseWriter& caller)
    : m_state(state),
      m_places(places),
      m_http(http),
      m_plan(std::move(plan)),
      m_request(request),
      m_caller(caller) {
  m_progress.m_kind = m_plan.m_route.m_kind;
  m_progress.m_resumable = m_plan.m_route.m_resumable;
  m_progress.m_max_attempts = m_plan.m_route.m_max_attempts;
  m_pool_call.m_fresh = m_plan.m_patience.m_fresh;
  m_pool_call.m_prompt_tokens = m_plan.m_call.m_prompt_tokens;
  if (!m_plan.m_model.empty() && m_plan.m_patience.m_fresh)
    m_pool_call.m_read_by = m_plan.m_began + m_plan.m_patience.m_read;
  m_pool_call.m_length = m_plan.m_length;
  m_pool_call.m_urgency = m_plan.m_route.m_urgency;
}

Awaitable<void> CallRun::Run() {
  decide::CountCall(StateOf(m_state, m_plan.m_service).m_repeats,
                    m_state.m_options.m_repeats, Now());
  if (!m_plan.m_patience.m_fresh &&
      decide::TurnsLateAway(StateOf(m_state, m_plan.m_service).m_late, Now())) {
    co_await Refuse(decide::Refusal::kFull);
    co_return;
  }
  if (!co_await Begin())
    co_return;
  const bool stream = m_progress.m_kind == model::CallKind::kStream &&
                      m_attempt.m_head.m_status == kOk;
  if (stream)
    co_await AnswerStream();
  else
    co_await AnswerWhole();
}

Awaitable<bool> CallRun::Begin() {
  TimePoint wait_until =
      std::min(m_plan.m_deadline, m_plan.m_began + m_plan.m_patience.m_wait);
  while (true) {
    if (!co_await SendOnce(wait_until)) {
      co_await GiveUp();
      co_return false;
    }
    const AttemptEnd end = m_attempt.m_end;
    if (end == AttemptEnd::kGood)
      co_return true;
    if (m_caller.gone()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", 0);
      co_return false;
    }
    if (end == AttemptEnd::kBroken)
      NoteBreak();
    const bool again = Left() > Duration() &&
                       decide::MayTryAgain(m_progress, end) && TakeRepeat(end);
    if (!again && end == AttemptEnd::kFailed)
      co_return true;  // The replica's own failure goes to the caller.
    EndAttempt(end);
    if (!again) {
      co_await GiveUp();
      co_return false;
    }
    PrepareRepeat();
    wait_until =
        std::min(m_plan.m_deadline,
                 std::max(wait_until, Now() + decide::RepeatWait(m_progress)));
  }
}

Awaitable<bool> CallRun::SendOnce(TimePoint wait_until) {
  m_pool_call.m_ticket = m_places.NewTicket();
  const uint64_t ticket = m_pool_call.m_ticket;
  m_caller.OnGone([this, ticket] { m_places.Cancel(ticket); });
  const TimePoint asked = Now();
  auto place =
      co_await m_places.Take(m_plan.m_service, m_pool_call, wait_until);
  m_times.m_waited += Now() - asked;
  m_caller.OnGone(nullptr);
  if (!place)
    co_return false;
  m_replica = *place;
  auto& replicas = StateOf(m_state, m_plan.m_service).m_pool.m_replicas;
  const auto found = replicas.find(m_replica);
  if (m_caller.gone() || found == replicas.end() || Left() <= Duration()) {
    m_places.NoteBegun(m_plan.m_service, m_replica,
                       m_pool_call.m_prompt_tokens);
    EndAttempt(AttemptEnd::kAbandoned);
    co_return false;
  }
  const decide::ReplicaState& replica = found->second;
  m_incarnation =
      m_replica + "/" + std::to_string(replica.m_replica.m_started_ms);
  m_pool_call.m_tried.insert(m_replica);
  ++m_attempts;
  m_sent_at = Now();
  m_times.m_heard_at = m_sent_at;
  const Endpoint endpoint = replica.m_replica.m_endpoint;
  wire::Request request =
      platform::EncodeForReplica(m_request, Forwarded(replica));
  const TimePoint head_deadline =
      std::min(Now() + decide::HeadTimeout(m_progress, m_plan.m_route, Left()),
               WeightsDeadline(replica));
  m_attempt = co_await SendAttempt(m_http, endpoint, std::move(request),
                                   m_plan.m_call.m_id, head_deadline, m_caller);
  m_places.NoteBegun(m_plan.m_service, m_replica, m_pool_call.m_prompt_tokens);
  if (!m_attempt.m_failure)
    m_times.m_heard_at = Now();
  if (m_attempt.m_end != AttemptEnd::kUnreachable)
    ++m_progress.m_sent;
  if (m_attempt.m_may_have_run)
    ++m_progress.m_runs;
  if (m_attempt.m_facts.m_weights) {
    auto known = replicas.find(m_replica);
    if (known != replicas.end()) {
      known->second.m_weights =
          std::max(known->second.m_weights, *m_attempt.m_facts.m_weights);
    }
  }
  LogAttempt(m_attempt.m_end);
  co_return true;
}

Awaitable<void> CallRun::AnswerWhole() {
  wire::Response response{m_attempt.m_head.m_status, {}, ""};
  const AttemptEnd good = m_attempt.m_end;
  std::string reason;
  {
    const wire::CancelWhenGone cancel(m_caller, *m_attempt.m_reader);
    while (true) {
      auto piece = co_await m_attempt.m_reader->ReadBody(m_plan.m_deadline);
      if (!piece) {
        reason = ToString(piece.error());
        break;
      }
      if (!piece->has_value())
        break;
      response.m_body += **piece;
    }
  }
  if (!reason.empty()) {
    // Half an answer is none: a caller must not take it for a whole one.
    m_attempt.m_reason = reason;
    if (m_caller.gone()) {
      EndAttempt(AttemptEnd::kAbandoned);
      LogCall("caller_gone", 0);
      co_return;
    }
    const bool again = Left() > Duration() &&
                       decide::MayTryAgain(m_progress, AttemptEnd::kBroken) &&
                       TakeRepeat(AttemptEnd::kBroken);
    EndAttempt(AttemptEnd::kBroken);
    if (!again) {
      co_await GiveUp();
      co_return;
    }
    // A coroutine of its own for each further try: bounded by the attempts.
    if (co_await Begin())
      co_await AnswerWhole();
    co_return;
  }
  response.m_headers =
      platform::EncodeForCaller(std::move(m_attempt.m_head)).m_headers;
  decide::NoteSuccess(m_state.m_crashes, m_plan.m_fingerprint, Now());
  EndAttempt(good);
  const int status = response.m_status;
  const bool delivered = co_await m_caller.Send(std::move(response));
  LogCall(delivered ? "delivered" : "caller_gone", status);
}

Awaitable<void> CallRun::GiveUp() {
  if (m_caller.gone()) {
    LogCall("caller_gone", 0);
    co_return;
  }
  if (m_progress.m_runs > 0) {
    const bool late = Left() <= Duration();
    co_await Tell(late ? kGatewayTimeout : kBadGateway,
                  "the call may have run; no answer of it came back",
                  Duration());
    co_return;
  }
  const bool usable = decide::HasUsableReplica(
      StateOf(m_state, m_plan.m_service).m_pool, Now());
  if (usable && m_plan.m_patience.m_fresh)
    decide::NoteRefusedInTime(StateOf(m_state, m_plan.m_service).m_late, Now());
  co_await Refuse(usable ? decide::Refusal::kFull
                         : decide::Refusal::kNoReplica);
}

Awaitable<void> CallRun::Refuse(decide::Refusal refusal) {
  co_await Tell(kUnavailable,
                std::string("not run: ") + decide::ToString(refusal),
                decide::RetryAfter(refusal, m_state.m_random));
}

Awaitable<void> CallRun::Tell(int status,
                              const std::string& reason,
                              Duration retry_after) {
  m_attempt.m_reason = reason;
  const bool told = co_await m_caller.Send(
      platform::EncodeRefusal(status, m_plan.m_call.m_id, reason, retry_after));
  const char* outcome = status == kUnavailable ? "refused" : "unknown";
  LogCall(told ? outcome : "caller_gone", status);
}

void CallRun::EndAttempt(AttemptEnd end) {
  m_attempt.m_reader.reset();
  if (m_replica.empty())
    return;
  m_places.Release(m_plan.m_service, m_replica, end);
  m_replica.clear();
}

void CallRun::PrepareRepeat() {
  decide::PrepareRepeat(
      m_pool_call, StateOf(m_state, m_plan.m_service).m_pool.m_prefill_rate,
      Now());
}

bool CallRun::TakeRepeat(AttemptEnd end) {
  // What never arrived anywhere isn't repeated by going elsewhere.
  if (end == AttemptEnd::kUnreachable)
    return true;
  const bool taken = decide::TakeRepeat(
      StateOf(m_state, m_plan.m_service).m_repeats, m_state.m_options.m_repeats,
      EntriesAtMost(m_state), Now());
  if (!taken)
    m_state.m_metrics.Count("repeats_denied_total", "");
  return taken;
}

platform::ForwardedCall CallRun::Forwarded(
    const decide::ReplicaState& replica) const {
  platform::ForwardedCall call;
  call.m_replica = replica.m_replica.m_id;
  call.m_time_left = Left() - kReplicaMargin;
  call.m_organisation = m_plan.m_organisation;
  if (!m_events.m_last_id.empty())
    call.m_last_event = m_events.m_last_id;
  return call;
}

TimePoint CallRun::WeightsDeadline(const decide::ReplicaState& replica) const {
  const auto watch = m_state.m_weights.find(m_plan.m_model);
  if (m_plan.m_model.empty() || watch == m_state.m_weights.end())
    return TimePoint::max();
  return decide::BindsAgainst(watch->second, replica.m_weights);
}

void CallRun::NoteBreak() {
  decide::NoteCrash(m_state.m_crashes, m_plan.m_fingerprint, m_incarnation,
                    Now());
}

void CallRun::LogAttempt(AttemptEnd end) {
  LogLine("attempt")
      .With("call", m_plan.m_call.m_id)
      .With("replica", m_replica)
      .With("end", ToString(end))
      .With("number", static_cast<uint64_t>(m_attempts))
      .With("weights", m_attempt.m_facts.m_weights.value_or(0))
      .With("replicas_age_ms", MillisecondsSince(m_state.m_replicas_at))
      .With("ms", MillisecondsSince(m_sent_at))
      .With("silent_ms", MillisecondsSince(m_times.m_heard_at))
      .With("reason", m_attempt.m_reason)
      .Info();
}

const char* CallRun::EndedBy() const {
  if (m_caller.gone())
    return "caller";
  if (Left() <= Duration())
    return "time";
  // What is left of the call's time would have let the replica go on.
  return m_attempt.m_failure == FailureCode::kTimeout ? "silence" : "replica";
}

void CallRun::LogCall(const std::string& outcome, int status) {
  m_state.m_metrics.Count("calls_total", "outcome=\"" + outcome + "\"");
  const bool cut = outcome == kCut;
  const std::string ended_by = cut ? EndedBy() : "";
  if (cut) {
    m_state.m_metrics.Count("answers_cut_total", "by=\"" + ended_by + "\"");
  }
  m_state.m_metrics.Observe(
      "call_seconds", "",
      std::chrono::duration<double>(Now() - m_plan.m_began).count());
  LogLine("call")
      .With("call", m_plan.m_call.m_id)
      .With("route", m_plan.m_route.m_name)
      .With("service", m_plan.m_service)
      .With("organisation", m_plan.m_organisation)
      .With("config", m_plan.m_config_version)
      .With("config_now",
            m_state.m_routes ? m_state.m_routes->config().m_version : 0)
      .With("outcome", outcome)
      .With("ended_by", ended_by)
      .With("status", status)
      .With("ran", m_progress.m_runs > 0)
      .With("attempts", static_cast<uint64_t>(m_attempts))
      .With("events", m_events.m_events)
      .With("prompt_tokens", uint64_t{m_plan.m_call.m_prompt_tokens})
      .With("time_left_ms",
            ToMilliseconds(m_plan.m_call.m_time_left.value_or(Duration())))
      .With("objective_ms", ToMilliseconds(m_plan.m_route.m_objective))
      .With("elapsed_ms", ToMilliseconds(m_plan.m_elapsed))
      .With("fresh", m_plan.m_patience.m_fresh)
      .With("patience_ms", ToMilliseconds(m_plan.m_patience.m_wait))
      .With("patience_share",
            StateOf(m_state, m_plan.m_service).m_patience.m_share)
      .With("waited_ms", ToMilliseconds(m_times.m_waited))
      .With("first_event_ms",
            m_times.m_first_event ? ToMilliseconds(*m_times.m_first_event) : -1)
      .With("longest_pause_ms", ToMilliseconds(m_times.m_longest_pause))
      .With("ms", MillisecondsSince(m_plan.m_began))
      .With("left_ms", ToMilliseconds(Left()))
      .With("silent_ms",
            m_attempts > 0 ? MillisecondsSince(m_times.m_heard_at) : 0)
      .With("lag_ms", ToMilliseconds(WorstLag(m_state.m_lag, Now())))
      .With("reason", m_attempt.m_reason)
      .Info();
}

}  // namespace verbenalead::entry
