#include "entry/token_requester.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "base/log.h"
#include "entry/rate_limits.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;

/// Several times the longest round trip between entries.
constexpr Duration kAnswerTimeout = 40ms;
/// Hold-off after a request without an answer. Entries of a data centre notice
/// the death of one of them within about three times this time.
constexpr Duration kSilentHolderHoldOff = 500ms;
/// Hold-off that an entry sends which doesn't hold the bucket by its own
/// choice: the two entries agree after the next update.
constexpr Duration kWrongHolderHoldOff = 200ms;
/// Sent as the age of the limit if none is known, so that the report is older
/// than any observation.
constexpr Duration kUnknownAge = std::chrono::hours(1);
/// Half of decide::kMaxTermGap.
constexpr Duration kTermConfirmInterval = 400ms;

}  // namespace

/// A request to the holder and its answer.
struct TokenRequester::PendingRequest {
  explicit PendingRequest(const asio::any_io_executor& executor)
      : m_timer(executor) {}

  asio::steady_timer m_timer;
  bool m_answered = false;
  bool m_granted = false;
};

Awaitable<bool> TokenRequester::RequestToken(std::string service,
                                             std::string replica) {
  auto& replicas = GetOrCreateService(m_state, service).m_pool.m_replicas;
  const auto found = replicas.find(replica);
  if (found == replicas.end() || !LimitOf(found->second).m_rate)
    co_return true;
  const std::string holder = HolderOf(found->second);
  if (holder == OwnHost()) {
    Decision decision = {false, kWrongHolderHoldOff};
    if (HoldsBucket(found->second))
      decision = Decide(found->second);
    if (!decision.m_granted)
      HoldBackReplica(m_state, found->second, holder, decision.m_hold_off);
    co_return decision.m_granted;
  }
  const bool granted = co_await RequestFrom(holder, replica);
  co_return granted;
}

Awaitable<bool> TokenRequester::RequestFrom(std::string holder,
                                            std::string replica) {
  const auto executor = co_await asio::this_coro::executor;
  const uint64_t ticket = ++m_last_ticket;
  auto pending = std::make_shared<PendingRequest>(executor);
  const auto peer = m_state.m_peers.find(holder);
  decide::ReplicaState* state = FindReplica(m_state, replica);
  if (peer != m_state.m_peers.end() && state) {
    const links::StatementReport report = StatementsOf(*state, Now());
    m_pending[ticket] = pending;
    links::TokenRequest request;
    request.m_replica = replica;
    request.m_ticket = ticket;
    request.m_limit = report.m_rate_limit.value_or(
        links::RateLimitReport{std::nullopt, kUnknownAge});
    request.m_cold = report.m_cold;
    request.m_started_ms = report.m_started_ms;
    m_datagrams.Send(peer->second.m_address.m_peers, request);
    pending->m_timer.expires_after(kAnswerTimeout);
    boost::system::error_code ignored;
    co_await pending->m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    m_pending.erase(ticket);
  }
  if (pending->m_answered)
    co_return pending->m_granted;
  m_state.m_metrics.Count("token_holders_silent_total", "");
  state = FindReplica(m_state, replica);
  if (state) {
    HoldBackReplica(m_state, *state,
                    holder.empty() ? "no entry" : holder + " (silent)",
                    kSilentHolderHoldOff);
  }
  co_return false;
}

void TokenRequester::HandleRequest(const Endpoint& sender,
                                   const links::TokenRequest& request) {
  links::TokenAnswer answer;
  answer.m_replica = request.m_replica;
  answer.m_ticket = request.m_ticket;
  answer.m_hold_off = kWrongHolderHoldOff;
  decide::ReplicaState* replica = FindReplica(m_state, request.m_replica);
  if (replica) {
    Learn(*replica, request.m_limit, request.m_cold, request.m_started_ms,
          ToString(sender));
    if (HoldsBucket(*replica)) {
      const Decision decision = Decide(*replica);
      answer.m_granted = decision.m_granted;
      answer.m_hold_off = decision.m_hold_off;
    }
    const links::StatementReport report = StatementsOf(*replica, Now());
    answer.m_limit = report.m_rate_limit;
    answer.m_cold = report.m_cold;
    answer.m_started_ms = report.m_started_ms;
  }
  m_datagrams.Send(sender, answer);
}

void TokenRequester::HandleAnswer(const links::TokenAnswer& answer) {
  decide::ReplicaState* replica = FindReplica(m_state, answer.m_replica);
  if (replica) {
    Learn(*replica, answer.m_limit, answer.m_cold, answer.m_started_ms,
          "holder");
  }
  if (replica && !answer.m_granted)
    HoldBackReplica(m_state, *replica, "holder", answer.m_hold_off);
  const auto found = m_pending.find(answer.m_ticket);
  if (found == m_pending.end())
    return;
  found->second->m_answered = true;
  found->second->m_granted = answer.m_granted;
  found->second->m_timer.cancel();
}

TokenRequester::Decision TokenRequester::Decide(
    const decide::ReplicaState& replica) {
  const TimePoint now = Now();
  std::erase_if(m_gates, [this](const auto& gate) {
    return !FindReplica(m_state, gate.first);
  });
  const std::string& id = replica.m_replica.m_id;
  decide::RateGate& gate = m_gates[id];
  if (decide::IsCold(replica.m_known.m_cold, now)) {
    decide::HolderTerm& term = m_terms[id];
    if (decide::ConfirmTerm(term, now))
      gate = {};
    const Duration pause = decide::TermPauseLeft(term, now);
    // The bucket begins to fill when the pause ends.
    if (pause > Duration())
      return {false, pause};
  }
  decide::SetLimit(gate, LimitOf(replica), now);
  if (!decide::HasToken(gate, now))
    return {false, decide::RecordDenial(gate, now, m_state.m_random)};
  decide::TakeToken(gate, now);
  m_state.m_metrics.Count("rate_limit_grants_total", "");
  return {true, Duration()};
}

void TokenRequester::ConfirmTerms(TimePoint now) {
  if (now < m_terms_confirmed_at + kTermConfirmInterval)
    return;
  m_terms_confirmed_at = now;
  std::set<std::string> held;
  for (const auto& [name, service] : m_state.m_services) {
    if (HasTargetProcesses(service.m_pool))
      continue;
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      if (!decide::IsCold(replica.m_known.m_cold, now) || !HoldsBucket(replica))
        continue;
      held.insert(id);
      if (decide::ConfirmTerm(m_terms[id], now))
        m_gates.erase(id);
    }
  }
  std::erase_if(m_terms, [&held](const auto& term) {
    return !held.contains(term.first);
  });
}

decide::GateLimit TokenRequester::LimitOf(
    const decide::ReplicaState& replica) const {
  const auto service = m_state.m_services.find(replica.m_replica.m_service);
  if (service == m_state.m_services.end())
    return {replica.m_known.m_rate_limit.m_rate, std::nullopt};
  return decide::LimitOf(service->second.m_pool, replica, Now());
}

void TokenRequester::Learn(decide::ReplicaState& replica,
                           const std::optional<links::RateLimitReport>& limit,
                           const std::optional<links::ColdReport>& cold,
                           uint64_t started_ms,
                           const std::string& source) {
  links::StatementReport report;
  report.m_rate_limit = limit;
  report.m_cold = cold;
  report.m_started_ms = started_ms;
  ApplyStatements(m_state, replica, report, source, Now());
}

std::string TokenRequester::HolderOf(
    const decide::ReplicaState& replica) const {
  return TokenHolder(m_state, replica, Now());
}

bool TokenRequester::HoldsBucket(const decide::ReplicaState& replica) const {
  if (HolderOf(replica) != OwnHost())
    return false;
  const auto claims = m_state.m_holder_claims.find(replica.m_replica.m_id);
  return claims == m_state.m_holder_claims.end() ||
         decide::IsAgreedHolder(claims->second, OwnHost(), Now());
}

const std::string& TokenRequester::OwnHost() const {
  return m_state.m_options.m_own_address.m_host;
}

}  // namespace verbenalead::entry
