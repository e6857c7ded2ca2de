#include "entry/update_sender.h"

#include "entry/peer_updates.h"

namespace verbenalead::entry {
namespace {

/// In one of this many rounds all calls are sent to targets again, in case a
/// datagram was lost.
constexpr uint64_t kRoundsPerResend = 12;
/// In one of this many rounds an update is sent to the entries of this data
/// centre even if nothing has changed.
constexpr uint64_t kRoundsPerUpdate = 4;

/// The share of the slots of usable replicas that is in use.
uint32_t UsedSlotsPercent(const decide::ReplicaPool& pool) {
  const decide::PoolLoad load = decide::LoadOf(pool, Now());
  return load.m_places == 0 ? 100 : 100 * load.m_taken / load.m_places;
}

}  // namespace

void NewsSender::TellCalls() {
  const bool all = ++m_call_rounds % kRoundsPerResend == 0;
  for (const auto& [name, service] : m_state.m_services) {
    if (!IsEngineService(m_state, name))
      continue;
    for (const auto& [id, replica] : service.m_pool.m_replicas)
      TellCalls(replica, all && replica.m_in_flight > 0);
  }
}

void NewsSender::TellCalls(const decide::ReplicaState& replica, bool resend) {
  const links::ReplicaCalls now = CallsAt(replica);
  links::ReplicaCalls& last_sent = m_told_calls[replica.m_replica.m_id];
  if (now == last_sent && !resend)
    return;
  last_sent = now;
  m_datagrams.Send(TargetOf(replica),
                   links::CallNews{replica.m_replica.m_id, now});
}

void NewsSender::TellEntries(bool took_over) {
  const bool crashes = TakeOwnCrashes(m_state, Now());
  links::EntryNews update = NewsOf(m_state);
  ++m_news_rounds;
  const bool changed = update.m_ready != m_last_news.m_ready || crashes;
  const bool store_lost = update.m_operator_proof == Duration() &&
                          m_last_news.m_operator_proof != Duration();
  const bool rows_changed =
      store_lost ||
      update.m_operator_revision != m_last_news.m_operator_revision ||
      update.m_replicas_hash != m_last_news.m_replicas_hash || took_over;
  if (changed || rows_changed || m_news_rounds % kRoundsPerUpdate == 0)
    Broadcast(update);
  m_last_news = std::move(update);
}

void NewsSender::TellAllEntries() {
  Broadcast(NewsOf(m_state));
}

void NewsSender::AnswerNewcomer(const links::EntryNews& update) {
  const bool near =
      update.m_address.m_data_center == m_state.m_options.m_self.m_data_center;
  if (near && update.m_operator_revision == 0 &&
      m_state.m_operator_revision > 0)
    m_datagrams.Send(update.m_address.m_peers, NewsOf(m_state));
}

void NewsSender::Broadcast(const links::EntryNews& update) {
  for (const auto& [host, peer] : m_state.m_peers) {
    if (IsNear(m_state, peer))
      m_datagrams.Send(peer.m_address.m_peers, update);
  }
}

void NewsSender::AskNearTargets() {
  TellTargets(true);
}

void NewsSender::TellFarTargets() {
  TellTargets(false);
}

void NewsSender::TellTargets(bool near) {
  for (const auto& [name, service] : m_state.m_services) {
    if (!IsEngineService(m_state, name))
      continue;
    const uint32_t fullness = UsedSlotsPercent(service.m_pool);
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      links::FollowRequest request;
      request.m_fullness_percent = fullness;
      request.m_weights_revision = m_state.m_weights_revision;
      request.m_replicas_hash = m_state.m_replicas_hash;
      request.m_near = replica.m_replica.m_data_center ==
                       m_state.m_options.m_self.m_data_center;
      if (request.m_near == near)
        m_datagrams.Send(TargetOf(replica), request);
    }
  }
}

Endpoint NewsSender::TargetOf(const decide::ReplicaState& replica) const {
  return {replica.m_replica.m_endpoint.address(),
          m_state.m_options.m_targets_port};
}

}  // namespace verbenalead::entry
