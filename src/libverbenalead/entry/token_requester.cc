#include "entry/token_requester.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "decide/limits/rate_holder.h"
#include "entry/rate_limits.h"
#include "entry/summary.h"
#include "links/rate_limit_report.h"

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
  if (found == replicas.end() || !found->second.m_known.m_rate_limit.m_rate)
    co_return true;
  const std::string holder = HolderOf(found->second);
  if (holder == OwnHost()) {
    const Decision decision = Decide(found->second);
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
  const auto limit = state ? links::ReportOf(state->m_known.m_rate_limit, Now())
                           : std::nullopt;
  if (peer != m_state.m_peers.end() && limit) {
    m_pending[ticket] = pending;
    m_datagrams.Send(peer->second.m_address.m_peers,
                     links::TokenRequest{replica, ticket, *limit});
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
    LearnRateLimit(m_state, *replica, links::FromReport(request.m_limit, Now()),
                   ToString(sender));
    if (HolderOf(*replica) == OwnHost()) {
      const Decision decision = Decide(*replica);
      answer.m_granted = decision.m_granted;
      answer.m_hold_off = decision.m_hold_off;
    }
    answer.m_limit = links::ReportOf(replica->m_known.m_rate_limit, Now());
  }
  m_datagrams.Send(sender, answer);
}

void TokenRequester::HandleAnswer(const links::TokenAnswer& answer) {
  decide::ReplicaState* replica = FindReplica(m_state, answer.m_replica);
  if (replica && answer.m_limit) {
    LearnRateLimit(m_state, *replica, links::FromReport(*answer.m_limit, Now()),
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
  decide::RateGate& gate = m_gates[replica.m_replica.m_id];
  decide::SetRate(gate, replica.m_known.m_rate_limit.m_rate, now);
  if (!decide::HasToken(gate, now))
    return {false, decide::RecordDenial(gate, now, m_state.m_random)};
  decide::TakeToken(gate, now);
  m_state.m_metrics.Count("rate_limit_grants_total", "");
  return {true, Duration()};
}

std::string TokenRequester::HolderOf(
    const decide::ReplicaState& replica) const {
  std::vector<decide::SummaryPeer> entries = ToSummaryPeers(m_state, Now());
  const model::EntryAddress& self = m_state.m_options.m_own_address;
  entries.push_back({self.m_host, self.m_data_center, true, IsReady(m_state)});
  return decide::RateHolder(replica.m_replica.m_id,
                            replica.m_replica.m_data_center, entries)
      .value_or("");
}

const std::string& TokenRequester::OwnHost() const {
  return m_state.m_options.m_own_address.m_host;
}

}  // namespace verbenalead::entry
