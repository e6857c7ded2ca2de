#include "entry/summary.h"

#include <algorithm>

#include "base/log.h"
#include "entry/crash_blame.h"
#include "entry/peer_updates.h"
#include "entry/statements.h"
#include "entry/store_return.h"

namespace verbenalead::entry {
namespace {

const std::string& OwnDataCenter(const EntryState& state) {
  return state.m_options.m_own_address.m_data_center;
}

links::EntrySummary EntrySummaryOf(const model::EntryAddress& address,
                                   bool ready) {
  return {address.m_host, address.m_callers, address.m_peers, ready};
}

links::ReplicaSummary ReplicaSummaryOf(const decide::ReplicaState& replica,
                                       TimePoint now) {
  links::ReplicaSummary summary;
  summary.m_replica = replica.m_replica.m_id;
  summary.m_started_ms = replica.m_replica.m_started_ms;
  summary.m_version = replica.m_weights;
  summary.m_closing = replica.m_closing_until > now;
  summary.m_loading = replica.m_loading_until > now;
  summary.m_calls.m_calls = replica.m_in_flight + replica.m_other_entries_calls;
  summary.m_calls.m_unread_tokens =
      replica.m_unread_tokens + replica.m_other_entries_unread_tokens;
  summary.m_queued_calls = replica.m_queued_calls;
  return summary;
}

/// This entry and the entries of its data centre that were seen recently. An
/// entry that wasn't is left out, so that the receivers of the summary also
/// treat it as gone.
std::vector<links::EntrySummary> EntriesOf(const EntryState& state,
                                           TimePoint now) {
  std::vector<links::EntrySummary> entries = {
      EntrySummaryOf(state.m_options.m_own_address, IsReady(state))};
  for (const auto& [host, peer] : state.m_peers) {
    if (IsInSameDataCenter(state, peer) && HasRecentUpdate(state, peer, now))
      entries.push_back(EntrySummaryOf(peer.m_address, peer.m_ready));
  }
  return entries;
}

void ApplyEntries(EntryState& state,
                  const links::DataCenterSummary& summary,
                  TimePoint now) {
  // Entries that the summary leaves out have died or are cut off within their
  // data centre.
  for (auto& [host, peer] : state.m_peers) {
    if (peer.m_address.m_data_center == summary.m_data_center)
      peer.m_ready = false;
  }
  for (const links::EntrySummary& entry : summary.m_entries) {
    PeerEntry& peer = state.m_peers[entry.m_host];
    peer.m_address = {entry.m_host, summary.m_data_center, entry.m_callers,
                      entry.m_peers};
    peer.m_ready = entry.m_ready;
    peer.m_last_seen_at = now;
  }
}

void ApplyReplicaSummary(EntryState& state,
                         const links::ReplicaSummary& summary,
                         TimePoint now) {
  for (auto& [name, service] : state.m_services) {
    const auto found = service.m_pool.m_replicas.find(summary.m_replica);
    if (found == service.m_pool.m_replicas.end())
      continue;
    const decide::ReplicaState& replica = found->second;
    links::ReplicaUpdate update;
    update.m_replica = summary.m_replica;
    update.m_service = name;
    update.m_statements.m_started_ms = summary.m_started_ms;
    update.m_version = summary.m_version;
    update.m_closing = summary.m_closing;
    update.m_loading = summary.m_loading;
    // The summary counts the calls of all entries. This entry's own are
    // subtracted, as they are counted separately.
    update.m_other_entries_calls.m_calls =
        summary.m_calls.m_calls -
        std::min(summary.m_calls.m_calls, replica.m_in_flight);
    update.m_other_entries_calls.m_unread_tokens =
        summary.m_calls.m_unread_tokens -
        std::min(summary.m_calls.m_unread_tokens, replica.m_unread_tokens);
    update.m_queued_calls = summary.m_queued_calls;
    ApplyUpdate(state, update, now);
    return;
  }
}

}  // namespace

std::vector<decide::SummaryPeer> ToSummaryPeers(const EntryState& state,
                                                TimePoint now) {
  std::vector<decide::SummaryPeer> peers;
  for (const auto& [host, peer] : state.m_peers) {
    peers.push_back({host, peer.m_address.m_data_center,
                     HasRecentUpdate(state, peer, now), peer.m_ready});
  }
  return peers;
}

links::DataCenterSummary SummaryOf(const EntryState& state, TimePoint now) {
  links::DataCenterSummary summary;
  summary.m_data_center = OwnDataCenter(state);
  summary.m_sender = state.m_options.m_own_address.m_host;
  summary.m_operator_revision = state.m_operator_revision;
  summary.m_operator_confirmed_at = StoreProofOf(state);
  summary.m_era_age = StoreEraAge(state);
  summary.m_entries = EntriesOf(state, now);
  for (const auto& [name, service] : state.m_services) {
    if (!IsEngineService(state, name))
      continue;
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      if (replica.m_replica.m_data_center == summary.m_data_center)
        summary.m_replicas.push_back(ReplicaSummaryOf(replica, now));
    }
  }
  summary.m_crashes = state.m_own_crashes;
  for (const auto& [crash, at] : state.m_local_crashes)
    summary.m_crashes.push_back({crash.first, crash.second, at});
  std::sort(summary.m_crashes.begin(), summary.m_crashes.end(),
            [](const decide::CrashRecord& a, const decide::CrashRecord& b) {
              return a.m_at < b.m_at;
            });
  LimitToDatagram(summary.m_crashes);
  summary.m_crash_reports = CrashReportsToSend(state, true, now);
  summary.m_statements = StatementsToReport(state, now);
  return summary;
}

bool ApplySummary(EntryState& state,
                  const links::DataCenterSummary& summary,
                  TimePoint now) {
  if (summary.m_data_center == OwnDataCenter(state))
    return false;
  // Two summaries that pass through different relays may arrive in either
  // order.
  LastSummary& last = state.m_summaries[summary.m_data_center];
  if (last.m_sender == summary.m_sender &&
      summary.m_sequence <= last.m_sequence)
    return false;
  if (last.m_sender != summary.m_sender) {
    LogLine("summary_sender")
        .With("data_center", summary.m_data_center)
        .With("sender", summary.m_sender)
        .With("before", last.m_sender)
        .Info();
  }
  last = {summary.m_sender, summary.m_sequence};
  ApplyEntries(state, summary, now);
  NotePeerEra(state, summary.m_operator_revision.m_era, summary.m_era_age,
              summary.m_sender);
  ApplyPeerProof(state, summary.m_operator_revision,
                 summary.m_operator_confirmed_at);
  for (const links::ReplicaSummary& summary : summary.m_replicas)
    ApplyReplicaSummary(state, summary, now);
  ApplyCrashReports(state, summary.m_crash_reports, summary.m_sender, false,
                    now);
  ApplyCrashRecords(state, summary.m_crashes, now);
  ApplyStatementList(state, summary.m_statements, summary.m_sender, now);
  return true;
}

}  // namespace verbenalead::entry
