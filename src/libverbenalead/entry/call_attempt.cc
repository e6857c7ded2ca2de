#include "entry/call_attempt.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "entry/cold_replicas.h"
#include "entry/crash_blame.h"
#include "entry/rate_limits.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

using decide::AttemptEnd;

/// The replica's deadline is this much before the call's, so that its final
/// status still reaches the caller in time.
constexpr Duration kReplicaMargin = 20ms;

/// Limit of the names that LogUnknownFields() logs and remembers.
constexpr size_t kMaxLoggedFields = 64;

/// Limits of what DiscardAnswer() reads.
constexpr size_t kMaxDiscardedBytes = 64 * 1024;
constexpr Duration kMaxDiscardTime = 200ms;

constexpr char kBarredReason[] = "newer weights became mandatory";

const char* ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kGood:
      return "answered";
    case AttemptEnd::kFailed:
      return "failed";
    case AttemptEnd::kNoSlot:
      return "no_slot";
    case AttemptEnd::kNotRun:
      return "not_run";
    case AttemptEnd::kWrongReplica:
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

/// Identifies the process that got a call.
std::string IncarnationOf(const model::Replica& replica) {
  return replica.m_id + "/" + std::to_string(replica.m_started_ms);
}

}  // namespace

CallAttempt::CallAttempt(CallServices services,
                         std::shared_ptr<CallRecord> record)
    : m_services(services), m_record(std::move(record)) {}

CallAttempt::~CallAttempt() {
  NoteBegun();
}

Awaitable<bool> CallAttempt::Send(TimePoint wait_until,
                                  const std::function<void()>& on_sent) {
  SlotAllocator& slot_allocator = m_services.m_slot_allocator;
  const CallPlan& plan = m_record->m_plan;
  const uint32_t prompt_tokens = m_record->m_pool_call.m_prompt_tokens;
  auto replica_id = co_await AcquireSlot(wait_until);
  m_blocked = IsBlockedCall(m_services.m_state, plan);
  if (!replica_id)
    co_return false;
  m_replica = *replica_id;
  auto& replicas =
      GetOrCreateService(m_services.m_state, plan.m_service).m_pool.m_replicas;
  const auto found = replicas.find(m_replica);
  if (m_blocked || m_cancelled || found == replicas.end() ||
      m_record->Left(Now()) <= Duration()) {
    slot_allocator.NotePromptRead(plan.m_service, m_replica, prompt_tokens);
    End(AttemptEnd::kAbandoned);
    co_return false;
  }
  const decide::ReplicaState& replica = found->second;
  m_incarnation = IncarnationOf(replica.m_replica);
  m_record->m_pool_call.m_attempted_replicas.insert(m_replica);
  m_number = ++m_record->m_attempts;
  co_await Exchange(replica, on_sent);
  if (m_result.m_end == AttemptEnd::kUnreachable)
    m_record->m_retries.NoteUnreachable();
  else
    m_record->m_retries.NoteSettled();
  // Before the update to the target that NotePromptRead() sends, which reports
  // the statements.
  ApplyStatements();
  slot_allocator.NotePromptRead(plan.m_service, m_replica, prompt_tokens);
  ApplyHead();
  Log(m_result.m_end, m_result.m_reason);
  co_return true;
}

Awaitable<void> CallAttempt::Exchange(const decide::ReplicaState& replica,
                                      const std::function<void()>& on_sent) {
  const CallPlan& plan = m_record->m_plan;
  EntryState& state = m_services.m_state;
  m_sent_at = Now();
  ++m_record->m_progress.m_open_attempts;
  m_known_weights = replica.m_weights;
  m_begin_by = WeightsDeadline(state, plan.m_model, m_known_weights);
  on_sent();
  m_record->m_retries.NoteSent();
  decide::RecordSent(state.m_causes, plan.m_parts, m_sent_at);
  if (m_begin_by <= m_sent_at) {
    m_barred = true;
    m_result.m_end = AttemptEnd::kUnreachable;
    m_result.m_reason = kBarredReason;
    co_return;
  }
  const Endpoint endpoint = replica.m_replica.m_endpoint;
  wire::Request request =
      platform::EncodeForReplica(m_record->m_request, ToForwardedCall(replica));
  if (!plan.m_model.empty()) {
    state.m_unstarted_calls[m_ticket] = {
        plan.m_model, m_replica, m_known_weights, [this] { StopBarred(); }};
  }
  const TimePoint head_deadline = std::min(plan.m_deadline, m_begin_by);
  co_await OpenAttempt(m_services.m_replicas, endpoint, std::move(request),
                       head_deadline, m_result);
  if ((m_cancelled || m_barred) && m_result.m_reader)
    m_result.m_reader->Cancel();
  if (m_result.m_reader)
    co_await ReadAnswerHead(plan.m_call.m_id, head_deadline, m_result);
  if (m_barred)
    m_result.m_reason = kBarredReason;
}

void CallAttempt::StopBarred() {
  if (std::exchange(m_barred, true))
    return;
  m_services.m_state.m_metrics.Count("calls_barred_total", "");
  LogLine("call_barred")
      .With("call", m_record->m_plan.m_call.m_id)
      .With("replica", m_replica)
      .With("known_weights", m_known_weights)
      .With("ms", ToMilliseconds(Now() - m_sent_at))
      .Info();
  if (m_result.m_reader)
    m_result.m_reader->Cancel();
}

void CallAttempt::NoteBegun() {
  m_services.m_state.m_unstarted_calls.erase(m_ticket);
}

void CallAttempt::IsolateSuspect(decide::PoolCall& pool_call) {
  EntryState& state = m_services.m_state;
  const CallPlan& plan = m_record->m_plan;
  const auto part = decide::FindIsolated(state.m_causes, plan.m_parts);
  if (!part)
    return;
  decide::Isolate(GetOrCreateService(state, plan.m_service).m_pool, pool_call,
                  *part, Now());
  state.m_metrics.Count("calls_isolated_total", "");
  LogLine("call_isolated")
      .With("call", plan.m_call.m_id)
      .With("replica", pool_call.m_only_replica.value_or(""))
      .Info();
}

Awaitable<std::optional<std::string>> CallAttempt::AcquireSlot(
    TimePoint wait_until) {
  SlotAllocator& slot_allocator = m_services.m_slot_allocator;
  auto& waiting = m_services.m_state.m_waiting_parts;
  decide::PoolCall pool_call = m_record->m_pool_call;
  const uint64_t ticket = pool_call.m_ticket = slot_allocator.NewTicket();
  m_ticket = ticket;
  if (!m_record->m_plan.m_parts.empty())
    waiting[ticket] = m_record->m_plan.m_parts;
  IsolateSuspect(pool_call);
  auto replica = co_await slot_allocator.Acquire(
      m_record->m_plan.m_service, std::move(pool_call), wait_until);
  waiting.erase(ticket);
  co_return replica;
}

void CallAttempt::NoteData() {
  EntryState& state = m_services.m_state;
  if (!decide::RecordData(state.m_causes, m_incarnation, Now()))
    return;
  // The connection that broke off was lost for another reason.
  decide::RemoveCrashesOf(state.m_crashes, m_incarnation);
  LogLine("crash_refuted").With("replica", m_incarnation).Info();
}

void CallAttempt::ApplyHead() {
  if (m_result.m_has_head && IsOwnAnswer())
    NoteData();
  --m_record->m_progress.m_open_attempts;
  if (m_result.m_end != AttemptEnd::kUnreachable)
    ++m_record->m_progress.m_sent_attempts;
  if (m_result.m_may_have_run)
    ++m_record->m_progress.m_possible_runs;
  LogUnknownFields();
  if (!m_result.m_metadata.m_weights || m_result.m_end == AttemptEnd::kBroken)
    return;
  decide::ReplicaState* replica = CurrentReplica();
  if (replica) {
    replica->m_weights =
        std::max(replica->m_weights, *m_result.m_metadata.m_weights);
  }
}

bool CallAttempt::IsOwnAnswer() const {
  // Another replica may have taken the address over: its answer says
  // kWrongReplica, and what it states is about itself.
  return m_result.m_end == AttemptEnd::kGood ||
         m_result.m_end == AttemptEnd::kFailed ||
         m_result.m_end == AttemptEnd::kNotRun;
}

decide::ReplicaState* CallAttempt::CurrentReplica() const {
  decide::ReplicaState* replica = FindReplica(m_services.m_state, m_replica);
  if (!replica || IncarnationOf(replica->m_replica) != m_incarnation)
    return nullptr;
  return replica;
}

bool CallAttempt::IsReplicaLoading() const {
  const decide::ReplicaState* replica = CurrentReplica();
  return replica && replica->m_loading_until > Now();
}

void CallAttempt::ApplyStatements() {
  decide::ReplicaState* replica = CurrentReplica();
  if (!replica || !IsOwnAnswer())
    return;
  LogMalformedStatements();
  ApplyRateLimit(*replica);
  const model::ReplicaStatements& statements = m_result.m_metadata.m_statements;
  const std::string& call = m_record->m_plan.m_call.m_id;
  ApplyCold(*replica);
  if (statements.m_leaving)
    LearnLeaving(m_services.m_state, *replica, call);
  if (statements.m_rest)
    LearnRest(m_services.m_state, *replica, *statements.m_rest, call);
}

void CallAttempt::ApplyRateLimit(decide::ReplicaState& replica) {
  const platform::AnswerMetadata& metadata = m_result.m_metadata;
  const std::optional<double> rate_limit = metadata.m_statements.m_rate_limit;
  const bool readable = metadata.m_statements.m_malformed.empty();
  const bool ran = m_result.m_end != AttemptEnd::kNotRun;
  // A rejection needn't come from the replica itself, so only a signed answer
  // shows that it names no limit any more.
  if (rate_limit || (ran && readable && metadata.m_signed)) {
    LearnRateLimit(m_services.m_state, replica,
                   {rate_limit, rate_limit ? Now() : m_sent_at, true},
                   m_record->m_plan.m_call.m_id);
  }
}

void CallAttempt::ApplyCold(decide::ReplicaState& replica) {
  const platform::AnswerMetadata& metadata = m_result.m_metadata;
  const auto& left = metadata.m_statements.m_cold_left;
  // A rejection needn't come from the replica itself, so only a signed answer
  // shows that it isn't cold.
  if (!left || (*left == Duration() && !metadata.m_signed))
    return;
  EntryState& state = m_services.m_state;
  LearnColdAnswer(state,
                  GetOrCreateService(state, m_record->m_plan.m_service).m_pool,
                  replica, *left, m_record->m_plan.m_call.m_id);
}

void CallAttempt::LogMalformedStatements() {
  for (const std::string& name : m_result.m_metadata.m_statements.m_malformed) {
    LogLine("answer_field_malformed")
        .With("call", m_record->m_plan.m_call.m_id)
        .With("replica", m_replica)
        .With("name", name)
        .With("value", wire::Get(m_result.m_head.m_headers, name))
        .Warn();
  }
}

void CallAttempt::LogUnknownFields() {
  std::set<std::string>& logged = m_services.m_state.m_logged_answer_fields;
  for (const std::string& name :
       platform::UnknownAnswerFields(m_result.m_head)) {
    if (logged.size() >= kMaxLoggedFields || !logged.insert(name).second)
      continue;
    LogLine("answer_field_unknown")
        .With("name", name)
        .With("value", wire::Get(m_result.m_head.m_headers, name))
        .With("replica", m_replica)
        .Warn();
  }
}

Awaitable<void> CallAttempt::PrefetchBody() {
  auto piece = co_await ReadBody();
  // Only a piece is stored: the end of the body, or a failure, shows again at
  // the next ReadBody().
  if (piece && piece->has_value())
    m_prefetched = std::move(**piece);
  else if (!piece)
    m_result.m_end = AttemptEnd::kBroken;
}

Awaitable<AsyncResult<std::optional<std::string>>> CallAttempt::ReadBody() {
  if (m_prefetched) {
    std::optional<std::string> piece =
        std::exchange(m_prefetched, std::nullopt);
    co_return piece;
  }
  auto piece =
      co_await m_result.m_reader->ReadBody(m_record->m_plan.m_deadline);
  if (!piece) {
    m_result.m_failure = piece.error().m_code;
    m_result.m_reason = verbenalead::ToString(piece.error());
  } else if (piece->has_value()) {
    NoteBegun();
    NoteData();
  }
  co_return piece;
}

Awaitable<void> CallAttempt::DiscardAnswer(
    std::shared_ptr<CallAttempt> attempt) {
  const TimePoint until = Now() + kMaxDiscardTime;
  size_t bytes = 0;
  while (bytes < kMaxDiscardedBytes) {
    auto piece = co_await attempt->m_result.m_reader->ReadBody(until);
    if (!piece || !piece->has_value())
      break;
    bytes += (*piece)->size();
  }
  attempt->End(attempt->m_result.m_end);
}

void CallAttempt::Cancel() {
  m_cancelled = true;
  m_services.m_slot_allocator.Cancel(m_ticket);
  if (m_result.m_reader)
    m_result.m_reader->Cancel();
}

void CallAttempt::End(AttemptEnd end) {
  m_result.m_reader.reset();
  NoteBegun();
  if (m_replica.empty())
    return;
  // Calls of an earlier incarnation break off when its process ends.
  if (!m_incarnation.empty() && !CurrentReplica())
    end = AttemptEnd::kAbandoned;
  // The replica isn't to blame.
  if (m_barred)
    end = AttemptEnd::kAbandoned;
  if (end == AttemptEnd::kGood)
    NoteRunTime();
  m_services.m_slot_allocator.Release(
      m_record->m_plan.m_service, std::exchange(m_replica, std::string()), end);
}

void CallAttempt::NoteRunTime() {
  decide::ReplicaPool& pool =
      GetOrCreateService(m_services.m_state, m_record->m_plan.m_service).m_pool;
  decide::ReplicaState* replica = CurrentReplica();
  // An error says nothing of the replica's speed, and the time of a stream
  // depends on how fast its caller reads.
  const bool is_plain_success =
      m_result.m_head.m_status / 100 == 2 && !m_has_events;
  if (replica && is_plain_success && !HasTargetProcesses(pool))
    decide::NoteRunTime(pool, *replica, Now() - m_sent_at, Now());
}

platform::ForwardedCall CallAttempt::ToForwardedCall(
    const decide::ReplicaState& replica) const {
  platform::ForwardedCall call;
  call.m_replica = replica.m_replica.m_id;
  call.m_time_left = m_record->Left(Now()) - kReplicaMargin;
  call.m_organisation = m_record->m_plan.m_organisation;
  call.m_last_event = m_record->m_events.m_last_id;
  // If the replica is believed to have the newest weights and has others, they
  // can only be older: it has lost them since, and its row doesn't tell yet. At
  // a replica with older weights a call may begin on newer ones.
  const auto& weights = m_services.m_state.m_weights;
  const auto versions = weights.find(m_record->m_plan.m_model);
  if (versions != weights.end() && replica.m_weights > 0 &&
      replica.m_weights == decide::Newest(versions->second))
    call.m_weights = replica.m_weights;
  return call;
}

void CallAttempt::Log(AttemptEnd end, const std::string& reason) const {
  const TimePoint now = Now();
  const model::ReplicaStatements& statements = m_result.m_metadata.m_statements;
  LogLine("attempt")
      .With("call", m_record->m_plan.m_call.m_id)
      .With("replica", m_replica)
      .With("end", ToString(end))
      .With("number", static_cast<uint64_t>(m_number))
      .With("weights", m_result.m_metadata.m_weights.value_or(0))
      .With("known_weights", m_known_weights)
      .With("begin_by_ms", m_begin_by == TimePoint::max()
                               ? -1
                               : ToMilliseconds(m_begin_by - m_sent_at))
      .With("rate_limit", statements.m_rate_limit.value_or(-1))
      .With("leaving", statements.m_leaving)
      .With("rest_ms", ToMilliseconds(statements.m_rest.value_or(Duration())))
      .With("replicas_age_ms",
            ToMilliseconds(now - m_services.m_state.m_replicas_confirmed_at))
      .With("ms", ToMilliseconds(now - m_sent_at))
      .With("silent_ms", ToMilliseconds(now - m_record->m_times.m_last_seen_at))
      .With("reason", reason)
      .Info();
}

}  // namespace verbenalead::entry
