#include "target/slot_granter.h"

#include <utility>

#include "base/log.h"
#include "decide/admission/early_refusal.h"
#include "links/cold_log.h"

namespace verbenalead::target {
namespace {

/// Time after the last report of an entry until its calls no longer count.
constexpr Duration kCallReportLifetime = 2500ms;

/// Whether entries learn something from `update` that `last` didn't tell them.
/// The time that a replica is still cold differs in each update.
bool HasNews(links::ReplicaUpdate update, links::ReplicaUpdate last) {
  for (links::ReplicaUpdate* each : {&update, &last}) {
    if (!each->m_statements.m_cold)
      continue;
    each->m_statements.m_cold->m_left = Duration();
    each->m_statements.m_cold->m_age = Duration();
  }
  return update != last;
}

/// Logged in place of the rate where there is no limit.
constexpr double kNoLimit = -1;

}  // namespace

void SlotGranter::Grant(const Endpoint& entry,
                        const links::SlotRequestMessage& request) {
  if (!m_state.m_engine)
    return;
  EntrySubscription& follower = m_entries[entry];
  follower.m_calls = request.m_calls;
  follower.m_calls_reported_at = Now();
  m_queue.m_slots = m_state.m_engine->m_slots;
  LearnStatements(request.m_replica, request.m_statements, entry);
  const TimePoint now = Now();
  decide::SlotRequest slot_request;
  slot_request.m_entry = entry;
  slot_request.m_ticket = request.m_ticket;
  slot_request.m_prompt_tokens = request.m_prompt_tokens;
  slot_request.m_can_be_on_time = request.m_can_be_on_time;
  slot_request.m_read_deadline = now + request.m_read_within;
  slot_request.m_until = now + request.m_max_wait;
  slot_request.m_rank = request.m_rank.value_or(0);
  slot_request.m_organisation = request.m_organisation;
  slot_request.m_run_time = std::chrono::duration_cast<Duration>(
      request.m_run_time * m_state.m_engine_pace);
  slot_request.m_deny_early = request.m_rank || request.m_organisation;
  links::SlotAnswer answer;
  answer.m_ticket = request.m_ticket;
  answer.m_update = UpdateFor(follower);
  const bool leaving = IsLeaving();
  if (!answer.m_update.m_loading && !leaving) {
    const auto decision =
        decide::RequestSlot(m_queue, slot_request, Load(), now);
    answer.m_granted = decision == decide::SlotVerdict::kGranted;
    answer.m_queued = decision == decide::SlotVerdict::kQueued;
    if (decision == decide::SlotVerdict::kDenied && slot_request.m_deny_early)
      answer.m_expected_wait = decide::ExpectedWait(m_queue, slot_request);
  }
  if (!answer.m_granted && !leaving && !decide::HasToken(m_queue.m_rate, now)) {
    // A call that would wait asks once, so it isn't one of the entries that
    // compete for the next token.
    const bool would_wait = request.m_max_wait > Duration();
    answer.m_update.m_rate_hold_off =
        would_wait
            ? decide::TimeToTokens(m_queue.m_rate, 1, now)
            : decide::RecordDenial(m_queue.m_rate, now, m_state.m_random);
    m_state.m_metrics.Count("rate_limit_denials_total", "");
  }
  follower.m_slot_denied = !answer.m_granted && !answer.m_queued;
  if (answer.m_granted)
    CountGranted(follower, request.m_prompt_tokens);
  m_datagrams.Send(entry, answer);
  if (answer.m_queued)
    DenyDisplaced(now);
}

void SlotGranter::DenyDisplaced(TimePoint now) {
  for (const decide::SlotRequest& request :
       decide::TakeDisplaced(m_queue, now)) {
    links::SlotAnswer answer;
    answer.m_ticket = request.m_ticket;
    answer.m_update = UpdateFor(m_entries[request.m_entry]);
    answer.m_expected_wait = decide::ExpectedWait(m_queue, request);
    m_datagrams.Send(request.m_entry, answer);
    m_state.m_metrics.Count("slot_requests_displaced_total", "");
  }
}

void SlotGranter::Withdraw(const Endpoint& entry, uint64_t ticket) {
  decide::WithdrawRequest(m_queue, entry, ticket, Now());
}

void SlotGranter::CountGranted(EntrySubscription& follower,
                               uint32_t prompt_tokens) {
  ++follower.m_calls.m_calls;
  follower.m_calls.m_unread_tokens += prompt_tokens;
}

void SlotGranter::GrantWaiting() {
  Refresh();
  if (m_queue.m_slot_requests.empty() || m_engine_update().m_loading ||
      IsLeaving())
    return;
  for (const decide::SlotRequest& slot_request :
       decide::GrantSlots(m_queue, Load(), Now())) {
    EntrySubscription& follower = m_entries[slot_request.m_entry];
    links::SlotAnswer answer;
    answer.m_ticket = slot_request.m_ticket;
    answer.m_granted = true;
    answer.m_update = UpdateFor(follower);
    CountGranted(follower, slot_request.m_prompt_tokens);
    m_datagrams.Send(slot_request.m_entry, answer);
  }
}

void SlotGranter::HandleCallReport(const Endpoint& entry,
                                   const links::CallUpdate& update) {
  EntrySubscription& follower = m_entries[entry];
  follower.m_calls = update.m_calls;
  follower.m_calls_reported_at = Now();
  LearnStatements(update.m_replica, update.m_statements, entry);
  GrantWaiting();
  // Entries that were denied a slot may have calls waiting, so they are
  // notified of the change at once.
  SendUpdates([](const EntrySubscription& other, const links::ReplicaUpdate&) {
    return other.m_slot_denied;
  });
}

void SlotGranter::LearnStatements(const std::string& replica,
                                  const links::StatementReport& report,
                                  const Endpoint& entry) {
  // Entries may learn of a restart before this process does, or after it.
  if (replica != m_known_replica || report.m_started_ms > m_known_started_ms)
    SetIncarnation(replica, report.m_started_ms);
  Refresh();
  bool changed = false;
  // A report of an entry that hasn't heard of the restart yet.
  const bool outdated =
      report.m_started_ms != 0 && report.m_started_ms != m_known_started_ms;
  if (report.m_rate_limit && !outdated)
    changed = LearnRateLimit(*report.m_rate_limit, entry);
  if (report.m_cold && !outdated)
    changed = LearnCold(links::FromReport(*report.m_cold, Now())) || changed;
  if (report.m_leaving)
    changed = LearnLeaving(*report.m_leaving, entry) || changed;
  Refresh();
  if (changed)
    SendToAll();
}

void SlotGranter::SetIncarnation(const std::string& replica,
                                 uint64_t started_ms) {
  if (replica == m_known_replica && started_ms == m_known_started_ms)
    return;
  m_known_replica = replica;
  m_known_started_ms = started_ms;
  m_known = {};
  m_cold_logged_until = {};
  m_queue.m_granted_calls.clear();
  m_queue.m_turnover = {};
  m_queue.m_shares = {};
  decide::SetRate(m_queue.m_rate, std::nullopt, Now());
}

void SlotGranter::Refresh() {
  const TimePoint now = Now();
  if (m_state.m_engine) {
    m_queue.m_prefill_rate =
        m_state.m_engine->m_prefill_rate / m_state.m_engine_pace;
  }
  const model::Replica* own = OwnReplica(m_state);
  const uint64_t started_ms = m_state.m_engine_started_ms != 0 || !own
                                  ? m_state.m_engine_started_ms
                                  : own->m_started_ms;
  // An entry may have told of a later start than is known here.
  if (own && (own->m_id != m_known_replica || started_ms != m_seen_started_ms))
    SetIncarnation(own->m_id, started_ms);
  m_seen_started_ms = started_ms;
  if (own && own->m_started_ms == m_known_started_ms && own->m_cold_left &&
      decide::IsValidColdTime(*own->m_cold_left))
    LearnCold(decide::ColdByRow(*own->m_cold_left, own->m_revision, now));
  if (m_state.m_engine_cold &&
      m_state.m_engine_started_ms == m_known_started_ms)
    LearnCold(*m_state.m_engine_cold);
  decide::SetLimit(
      m_queue.m_rate,
      decide::EffectiveLimit(m_known.m_rate_limit.m_rate, m_known.m_cold,
                             m_state.m_cold_limits, now),
      now);
  ReportCold();
}

void SlotGranter::ReportCold() {
  if (m_state.m_cold_limits.m_rate <= 0)
    return;
  const TimePoint now = Now();
  m_state.m_metrics.Set("replicas_cold", "",
                        decide::IsCold(m_known.m_cold, now) ? 1 : 0);
  links::LogColdChange(m_known_replica, m_known.m_cold, m_cold_logged_until,
                       now);
}

bool SlotGranter::LearnCold(const decide::ColdState& cold) {
  return m_state.m_cold_limits.m_rate > 0 &&
         decide::MergeCold(m_known.m_cold, cold, Now());
}

bool SlotGranter::LearnRateLimit(const links::RateLimitReport& report,
                                 const Endpoint& entry) {
  const TimePoint now = Now();
  decide::RateLimit& limit = m_known.m_rate_limit;
  const double before = limit.m_rate.value_or(kNoLimit);
  if (!decide::MergeRateLimit(limit, links::FromReport(report, now)))
    return false;
  m_state.m_metrics.Set("replica_rate_limit", "",
                        limit.m_rate.value_or(kNoLimit));
  LogLine("rate_limit")
      .With("replica", m_known_replica)
      .With("source", ToString(entry))
      .With("rate", limit.m_rate.value_or(kNoLimit))
      .With("before", before)
      .With("age_ms", ToMilliseconds(report.m_age))
      .Info();
  return true;
}

bool SlotGranter::LearnLeaving(uint64_t started_ms, const Endpoint& entry) {
  if (started_ms != m_known_started_ms || m_known.m_leaving)
    return false;
  m_known.m_leaving = true;
  LogLine("replica_leaving")
      .With("replica", m_known_replica)
      .With("source", ToString(entry))
      .With("calls", uint64_t{Calls().m_calls})
      .With("waiting", uint64_t{waiting()})
      .Info();
  return true;
}

bool SlotGranter::IsLeaving() const {
  return m_known.m_leaving || m_engine_update().m_statements.m_leaving;
}

void SlotGranter::RejectWaiting() {
  for (const decide::SlotRequest& request :
       std::exchange(m_queue.m_slot_requests, {})) {
    links::SlotAnswer answer;
    answer.m_ticket = request.m_ticket;
    answer.m_update = UpdateFor(m_entries[request.m_entry]);
    m_datagrams.Send(request.m_entry, answer);
  }
}

void SlotGranter::Follow(const Endpoint& entry, TimePoint until) {
  m_entries[entry].m_expires_at = until;
}

void SlotGranter::SendToAll() {
  if (IsLeaving())
    RejectWaiting();
  SendUpdates([](const EntrySubscription&, const links::ReplicaUpdate&) {
    return true;
  });
}

void SlotGranter::SendChanges() {
  SendUpdates([](const EntrySubscription& follower,
                 const links::ReplicaUpdate& update) {
    return HasNews(update, follower.m_last_update);
  });
}

void SlotGranter::ExpireSilentEntries(TimePoint now) {
  // An entry that died does not report the end of its calls.
  for (auto& [entry, follower] : m_entries) {
    if (follower.m_calls_reported_at + kCallReportLifetime <= now)
      follower.m_calls = {};
  }
  GrantWaiting();
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.m_expires_at <= now &&
           entry.second.m_calls.m_calls == 0;
  });
}

links::ReplicaCalls SlotGranter::Calls() const {
  links::ReplicaCalls sum;
  for (const auto& [entry, follower] : m_entries) {
    sum.m_calls += follower.m_calls.m_calls;
    sum.m_unread_tokens += follower.m_calls.m_unread_tokens;
  }
  return sum;
}

decide::ReplicaLoad SlotGranter::Load() const {
  const links::ReplicaCalls all = Calls();
  return {all.m_calls, all.m_unread_tokens};
}

links::ReplicaUpdate SlotGranter::UpdateFor(
    const EntrySubscription& follower) const {
  links::ReplicaUpdate update = m_engine_update();
  const links::ReplicaCalls all = Calls();
  update.m_other_entries_calls.m_calls = all.m_calls - follower.m_calls.m_calls;
  update.m_other_entries_calls.m_unread_tokens =
      all.m_unread_tokens - follower.m_calls.m_unread_tokens;
  update.m_queued_calls = waiting();
  const auto leaving = update.m_statements.m_leaving;
  update.m_statements = links::ReportOf(m_known, m_known_started_ms, Now());
  update.m_statements.m_started_ms = m_known_started_ms;
  if (leaving)
    update.m_statements.m_leaving = leaving;
  return update;
}

template <typename Which>
void SlotGranter::SendUpdates(Which which) {
  if (!OwnReplica(m_state))
    return;
  for (auto& [entry, follower] : m_entries) {
    const links::ReplicaUpdate update = UpdateFor(follower);
    if (follower.m_expires_at <= Now() || !which(follower, update))
      continue;
    follower.m_last_update = update;
    follower.m_slot_denied = false;
    m_datagrams.Send(entry, update);
  }
}

}  // namespace verbenalead::target
