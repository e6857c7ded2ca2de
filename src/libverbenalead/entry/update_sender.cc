#include "entry/update_sender.h"

#include "entry/crash_blame.h"
#include "entry/declarations.h"
#include "entry/peer_updates.h"
#include "entry/statements.h"

namespace verbenalead::entry {
namespace {

/// In one of this many rounds the calls at each replica that has any are
/// reported to its target even if they have not changed, in case a datagram was
/// lost.
constexpr uint64_t kRoundsPerResend = 12;
/// In one of this many rounds an update is sent to the entries of this data
/// centre even if nothing has changed.
constexpr uint64_t kRoundsPerUpdate = 4;

/// The share of the slots of usable replicas that is in use.
uint32_t UsedSlotsPercent(const decide::ReplicaPool& pool) {
  const decide::PoolLoad load = decide::LoadOf(pool, Now());
  return load.m_slots == 0 ? 100 : 100 * load.m_used_slots / load.m_slots;
}

}  // namespace

void UpdateSender::NotifyCalls() {
  const bool all = ++m_call_rounds % kRoundsPerResend == 0;
  for (const auto& [name, service] : m_state.m_services) {
    if (!IsEngineService(m_state, name))
      continue;
    for (const auto& [id, replica] : service.m_pool.m_replicas)
      NotifyCalls(replica, all && replica.m_in_flight > 0);
  }
}

void UpdateSender::NotifyCalls(const decide::ReplicaState& replica,
                               bool resend) {
  const links::ReplicaCalls now = ReportedCallsAt(replica);
  links::ReplicaCalls& last_sent = m_sent_calls[replica.m_replica.m_id];
  if (now == last_sent && !resend)
    return;
  last_sent = now;
  m_datagrams.Send(TargetOf(replica),
                   links::CallUpdate{replica.m_replica.m_id, now,
                                     StatementsOf(replica, Now())});
}

void UpdateSender::NotifyEntries(bool took_over) {
  const bool crashes = CollectOwnCrashes(m_state, Now());
  const bool reports = CollectCrashReports(m_state, Now());
  links::EntryUpdate update = MakeEntryUpdate(m_state);
  ++m_update_rounds;
  const bool changed =
      update.m_ready != m_last_update.m_ready || crashes || reports ||
      !StateTheSame(update.m_statements, m_last_update.m_statements) ||
      update.m_declarations != m_last_update.m_declarations;
  const bool store_lost = update.m_operator_confirmed_at == Duration() &&
                          m_last_update.m_operator_confirmed_at != Duration();
  const bool rows_changed =
      store_lost ||
      update.m_operator_revision != m_last_update.m_operator_revision ||
      update.m_config_version != m_last_update.m_config_version ||
      update.m_replicas_hash != m_last_update.m_replicas_hash || took_over;
  if (changed || rows_changed || m_update_rounds % kRoundsPerUpdate == 0)
    Broadcast(update);
  m_last_update = std::move(update);
}

void UpdateSender::NotifyAllEntries() {
  Broadcast(MakeEntryUpdate(m_state));
}

void UpdateSender::NotifyStartingEntry(const links::EntryUpdate& update) {
  const bool same_data_center = update.m_address.m_data_center ==
                                m_state.m_options.m_own_address.m_data_center;
  const model::Revision none;
  if (same_data_center && update.m_operator_revision == none &&
      m_state.m_operator_revision > none)
    m_datagrams.Send(update.m_address.m_peers, MakeEntryUpdate(m_state));
}

void UpdateSender::Broadcast(const links::EntryUpdate& update) {
  for (const auto& [host, peer] : m_state.m_peers) {
    if (IsInSameDataCenter(m_state, peer))
      m_datagrams.Send(peer.m_address.m_peers, update);
  }
}

void UpdateSender::RequestLocalUpdates() {
  SendFollowRequests(true);
}

void UpdateSender::NotifyRemoteTargets() {
  SendFollowRequests(false);
}

void UpdateSender::SendFollowRequests(bool same_data_center) {
  for (const auto& [name, service] : m_state.m_services) {
    if (!IsEngineService(m_state, name))
      continue;
    const uint32_t fullness = UsedSlotsPercent(service.m_pool);
    const std::string& model =
        m_state.m_routes->FindService(name)->m_engine->m_model;
    const std::vector<links::DeclarationAge> declared =
        DeclarationAges(m_state, model, Now());
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      links::SubscriptionRequest request;
      request.m_used_slots_percent = fullness;
      request.m_weights_revision = m_state.m_weights_revision;
      request.m_replicas_hash = m_state.m_replicas_hash;
      request.m_evacuated_data_centers = m_state.m_evacuated_data_centers;
      request.m_declared = declared;
      request.m_same_data_center =
          replica.m_replica.m_data_center ==
          m_state.m_options.m_own_address.m_data_center;
      if (request.m_same_data_center == same_data_center)
        m_datagrams.Send(TargetOf(replica), request);
    }
  }
}

Endpoint UpdateSender::TargetOf(const decide::ReplicaState& replica) const {
  return {replica.m_replica.m_endpoint.address(),
          m_state.m_options.m_target_datagram_port};
}

}  // namespace verbenalead::entry
