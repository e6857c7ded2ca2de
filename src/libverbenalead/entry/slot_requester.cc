#include "entry/slot_requester.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "entry/peer_updates.h"
#include "entry/rate_limits.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

namespace asio = boost::asio;

/// Time-out of a request to a target. The longest round trip is 6 ms, but while
/// new weights are transferred, requests queue behind chunks on the target's
/// link. With a time-out of 15 ms, one in 15 calls was assigned to a replica by
/// its entry's own outdated view, and 190 of 5,600 requests of a quiet day got
/// no answer.
constexpr Duration kAnswerTimeout = 40ms;
/// Sent as the time limit for reading the prompt where none is known.
constexpr Duration kNoReadLimit = std::chrono::hours(1);
/// Time for which a target that didn't answer is sent no requests. A target
/// process that died is running again after a few seconds.
constexpr Duration kSilentTargetHoldOff = 500ms;

}  // namespace

/// A request to a target and its answer.
struct SlotRequester::PendingRequest {
  explicit PendingRequest(const asio::any_io_executor& executor)
      : m_timer(executor) {}

  asio::steady_timer m_timer;
  bool m_answered = false;
  bool m_granted = false;
};

Awaitable<bool> SlotRequester::RequestSlot(std::string service,
                                           std::string replica,
                                           decide::PoolCall call) {
  decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto found = pool.m_replicas.find(replica);
  if (found == pool.m_replicas.end())
    co_return true;
  if (!HasTargetProcesses(pool)) {
    const bool has_token = co_await m_tokens.RequestToken(service, replica);
    co_return has_token;
  }
  if (found->second.m_unresponsive_until > Now())
    co_return MayUseWithoutTarget(pool, found->second);
  const auto executor = co_await asio::this_coro::executor;
  auto pending = std::make_shared<PendingRequest>(executor);
  decide::NoteSlotRequestSent(pool, replica, call.m_prompt_tokens);
  const links::SlotRequestMessage request = RequestFor(found->second, call);
  const uint64_t ticket = request.m_ticket;
  m_pending_requests[ticket] = pending;
  m_datagrams.Send(TargetOf(found->second), request);
  pending->m_timer.expires_after(kAnswerTimeout);
  boost::system::error_code ignored;
  co_await pending->m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  m_pending_requests.erase(ticket);
  decide::NoteSlotRequestDone(pool, replica, call.m_prompt_tokens);
  if (pending->m_answered)
    co_return pending->m_granted;
  m_state.m_metrics.Count("targets_silent_total", "");
  LogLine("target_silent").With("replica", replica).Info();
  const auto unresponsive = pool.m_replicas.find(replica);
  if (unresponsive == pool.m_replicas.end())
    co_return true;
  unresponsive->second.m_unresponsive_until = Now() + kSilentTargetHoldOff;
  co_return MayUseWithoutTarget(pool, unresponsive->second);
}

bool SlotRequester::MayUseWithoutTarget(const decide::ReplicaPool& pool,
                                        decide::ReplicaState& replica) {
  if (!decide::LimitOf(pool, replica, Now()).m_rate)
    return true;
  HoldBackReplica(m_state, replica, "target (silent)",
                  replica.m_unresponsive_until - Now());
  return false;
}

std::optional<uint64_t> SlotRequester::Reserve(const std::string& service,
                                               const std::string& replica,
                                               const decide::PoolCall& call,
                                               TimePoint until) {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto found = pool.m_replicas.find(replica);
  if (!HasTargetProcesses(pool) || found == pool.m_replicas.end() ||
      found->second.m_unresponsive_until > Now())
    return std::nullopt;
  links::SlotRequestMessage request = RequestFor(found->second, call);
  request.m_max_wait = until - Now();
  const Endpoint target = TargetOf(found->second);
  m_reservations[request.m_ticket] = {replica, target};
  m_datagrams.Send(target, request);
  return request.m_ticket;
}

void SlotRequester::Withdraw(uint64_t reservation) {
  const auto found = m_reservations.find(reservation);
  if (found == m_reservations.end())
    return;
  m_datagrams.Send(found->second.second,
                   links::SlotWithdrawal{found->second.first, reservation});
  m_reservations.erase(found);
}

std::string SlotRequester::ReplicaOfReservation(uint64_t reservation) const {
  const auto found = m_reservations.find(reservation);
  return found == m_reservations.end() ? "" : found->second.first;
}

Endpoint SlotRequester::TargetOf(const decide::ReplicaState& replica) const {
  return {replica.m_replica.m_endpoint.address(),
          m_state.m_options.m_target_datagram_port};
}

links::SlotRequestMessage SlotRequester::RequestFor(
    const decide::ReplicaState& replica,
    const decide::PoolCall& call) {
  links::SlotRequestMessage request;
  request.m_replica = replica.m_replica.m_id;
  request.m_ticket = ++m_last_ticket;
  request.m_prompt_tokens = call.m_prompt_tokens;
  request.m_can_be_on_time = call.m_can_be_on_time;
  request.m_read_within =
      call.m_read_deadline == TimePoint::max()
          ? kNoReadLimit
          : std::max<Duration>(Duration(), call.m_read_deadline - Now());
  request.m_rank = call.m_rank;
  request.m_organisation = call.m_organisation;
  if (call.m_organisation)
    request.m_run_time = call.m_expected_run_time;
  request.m_calls = ReportedCallsAt(replica);
  request.m_statements = StatementsOf(replica, Now());
  return request;
}

void SlotRequester::HandleAnswer(const links::SlotAnswer& answer) {
  ApplyUpdate(m_state, answer.m_update, Now());
  if (answer.m_expected_wait)
    decide::NoteExpectedWait(
        GetOrCreateService(m_state, answer.m_update.m_service).m_overload,
        *answer.m_expected_wait, Now());
  if (m_reservations.contains(answer.m_ticket)) {
    if (answer.m_granted && m_granted)
      m_granted(answer.m_ticket);
    if (!answer.m_granted && !answer.m_queued && m_on_rejected)
      m_on_rejected(answer.m_ticket);
    if (!answer.m_queued)
      m_reservations.erase(answer.m_ticket);
    return;
  }
  const auto found = m_pending_requests.find(answer.m_ticket);
  if (found == m_pending_requests.end()) {
    if (answer.m_granted && m_on_unneeded_grant)
      m_on_unneeded_grant(answer.m_update.m_replica);
    return;
  }
  found->second->m_answered = true;
  found->second->m_granted = answer.m_granted;
  found->second->m_timer.cancel();
}

}  // namespace verbenalead::entry
