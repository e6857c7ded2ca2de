#include "entry/peer_updates.h"

#include <algorithm>

#include "base/boot_clock.h"
#include "base/log.h"
#include "entry/crash_blame.h"
#include "entry/declarations.h"
#include "entry/evacuation_rows.h"
#include "entry/rate_limits.h"
#include "entry/statements.h"
#include "entry/store_return.h"

namespace verbenalead::entry {
namespace {

/// Time without an update after which an entry of the same data centre counts
/// as failed or cut off: three intervals between updates.
constexpr Duration kLocalEntryTimeout = 1300ms;
/// The same time for entries of other data centres. The summaries that name
/// them are sent once a second, in datagrams that may be lost at either of two
/// hops or go to failed entries, and come later if the sender of the summaries
/// has failed.
///
/// A single entry that fails is left out of the next summary, so this time
/// matters only for data centres that are lost or cut off as a whole.
constexpr Duration kRemoteEntryTimeout = 8s;
/// Maximum age of the reader's proof. The entry that reads for others gets a
/// proof every 1.2 s, and the others receive it 0.4 s later; an older proof
/// means that the reader has lost the store.
constexpr Duration kMaxProofAge = 2200ms;
/// Cap of the age of the list of replicas in updates.
constexpr Duration kMaxReportedAge = std::chrono::hours(1);
/// Maximum age of the reader's list of replicas. The reader requests it every
/// 0.9 s, so with an older one it can't reach the store, and a replica that
/// left must be known 2 s later.
constexpr Duration kMaxReplicaListAge = 1500ms;
/// Crash records are resent for this long, so that the loss of some datagrams
/// loses no record.
constexpr Duration kCrashRecordLifetime = 3s;
constexpr size_t kMaxCrashRecords = 256;
/// How long a target's report that it is closing or loading holds. A target
/// sends it every second; if the target fails meanwhile, its replica is not
/// kept out of use for longer than this.
constexpr Duration kLoadingHold = 1500ms;

void RemoveExpiredRecords(std::vector<decide::CrashRecord>& records,
                          TimePoint now) {
  std::erase_if(records, [now](const decide::CrashRecord& record) {
    return now - record.m_at >= kCrashRecordLifetime;
  });
}

/// Stores crashes of replicas that an entry of this data centre reported, each
/// crash once. The summaries that this entry sends to other data centres list
/// them.
void RecordLocalCrashes(EntryState& state,
                        const std::vector<decide::CrashRecord>& crashes,
                        TimePoint now) {
  std::erase_if(state.m_local_crashes, [now](const auto& crash) {
    return now - crash.second >= kCrashRecordLifetime;
  });
  for (const decide::CrashRecord& record : crashes)
    state.m_local_crashes.try_emplace({record.m_key, record.m_target}, now);
}

/// Dates the proof that `update` announces. While this entry doesn't know the
/// store's clock of a new era, a proof that is new counts as given now: `peer`
/// reads the store, so that this entry need not. Such a date renews no lease.
void ApplyStoreProof(EntryState& state,
                     PeerEntry& peer,
                     const links::EntryUpdate& update) {
  const model::StoreTime proof = {update.m_operator_revision.m_era,
                                  update.m_operator_confirmed_at};
  const bool is_new = proof != peer.m_announced_proof;
  peer.m_announced_proof = proof;
  const auto proved_at =
      ApplyPeerProof(state, update.m_operator_revision, proof.m_time);
  if (proved_at)
    peer.m_proved_at = *proved_at;
  else if (proof.m_time == Duration())
    peer.m_proved_at = Duration();
  else if (is_new && proof.m_era > state.m_store_clock.m_era &&
           state.m_store_clock.m_offset)
    peer.m_proved_at = BootNow();
}

/// Whether `peer` runs a version of this program that states no era, although
/// the store does. Its rows and proofs can't be ordered.
bool StatesNoEra(const EntryState& state, const PeerEntry& peer) {
  return state.m_store_era.m_era > 0 && peer.m_operator_revision.m_era == 0 &&
         peer.m_operator_revision.m_number > 0;
}

/// Whether `peer` has changes of the operator's table that this entry lacks.
/// After the store came back from a copy, an entry may still know a newer
/// configuration, whatever its revision.
bool HasNewerRows(const EntryState& state, const PeerEntry& peer) {
  return peer.m_operator_revision > state.m_operator_revision ||
         peer.m_config_version > ConfigVersion(state);
}

/// The order in which rows of peers are preferred.
std::pair<uint64_t, model::Revision> NewestRows(const PeerEntry& peer) {
  return {peer.m_config_version, peer.m_operator_revision};
}

}  // namespace

void LimitToDatagram(std::vector<decide::CrashRecord>& records) {
  if (records.size() > kMaxCrashRecords)
    records.erase(records.begin(), records.end() - static_cast<std::ptrdiff_t>(
                                                       kMaxCrashRecords));
}

bool IsInSameDataCenter(const EntryState& state, const PeerEntry& peer) {
  return peer.m_address.m_data_center ==
         state.m_options.m_own_address.m_data_center;
}

bool HasRecentUpdate(const EntryState& state,
                     const PeerEntry& peer,
                     TimePoint now) {
  return peer.m_last_seen_at != TimePoint() &&
         now - peer.m_last_seen_at < (IsInSameDataCenter(state, peer)
                                          ? kLocalEntryTimeout
                                          : kRemoteEntryTimeout);
}

links::ReplicaCalls ReportedCallsAt(const decide::ReplicaState& replica) {
  links::ReplicaCalls calls;
  calls.m_calls = replica.m_in_flight -
                  std::min(replica.m_in_flight, replica.m_open_slot_requests);
  calls.m_unread_tokens =
      replica.m_unread_tokens -
      std::min(replica.m_unread_tokens, replica.m_requested_unread_tokens);
  return calls;
}

bool CollectOwnCrashes(EntryState& state, TimePoint now) {
  const std::vector<decide::CrashRecord> new_records =
      decide::TakeCrashRecords(state.m_crashes);
  RemoveExpiredRecords(state.m_own_crashes, now);
  state.m_own_crashes.insert(state.m_own_crashes.end(), new_records.begin(),
                             new_records.end());
  return !new_records.empty();
}

links::EntryUpdate MakeEntryUpdate(const EntryState& state) {
  links::EntryUpdate update;
  update.m_address = state.m_options.m_own_address;
  update.m_ready = IsReady(state);
  update.m_crashes = state.m_own_crashes;
  LimitToDatagram(update.m_crashes);
  update.m_crash_reports = CrashReportsToSend(state, false, Now());
  update.m_operator_revision = state.m_operator_revision;
  update.m_operator_confirmed_at = StoreProofOf(state);
  update.m_config_version = ConfigVersion(state);
  update.m_era_age = StoreEraAge(state);
  update.m_replicas_hash = state.m_replicas_hash;
  update.m_replicas_age = std::min<Duration>(
      Now() - state.m_replicas_confirmed_at, kMaxReportedAge);
  update.m_remote_entries = state.m_remote_entries;
  update.m_statements = StatementsToReport(state, Now());
  update.m_evacuations = EvacuationsToReport(state, Now());
  update.m_declarations = DeclarationsToReport(state, Now());
  return update;
}

Duration StoreProofOf(const EntryState& state) {
  // Failure: the store rejects the requests of the entry that reads for others.
  // Symptom: the others wait until its last proof is too old, and meanwhile
  // send calls to a replica that has left. Without a proof they take over at
  // once.
  const model::StoreTime& proof = state.m_operator_confirmed_at;
  return state.m_store_unavailable ||
                 proof.m_era != state.m_operator_revision.m_era
             ? Duration()
             : proof.m_time;
}

std::optional<Duration> ApplyPeerProof(EntryState& state,
                                       model::Revision revision,
                                       Duration proof) {
  const model::StoreTime proved = {revision.m_era, proof};
  const auto proved_at = decide::ToLocal(state.m_store_clock, proved);
  // The store confirmed that nothing newer than `revision` existed, and this
  // entry has that revision too.
  if (proved_at && *proved_at > Duration() && revision.m_number > 0 &&
      state.m_operator_revision >= revision) {
    if (proof > state.m_newest_proof.m_time ||
        revision.m_era > state.m_newest_proof.m_era)
      state.m_newest_proof = proved;
    ApplyProof(state, *proved_at);
  }
  return proved_at;
}

void ApplyCrashRecords(EntryState& state,
                       std::vector<decide::CrashRecord> crashes,
                       TimePoint now) {
  std::erase_if(crashes, [&](const decide::CrashRecord& record) {
    return decide::IsExplained(state.m_causes, record.m_target, now);
  });
  for (decide::CrashRecord& record : crashes)
    record.m_at = now;
  decide::MergeCrashRecords(state.m_crashes, crashes, now);
}

void ApplyUpdate(EntryState& state,
                 const links::EntryUpdate& update,
                 TimePoint now) {
  if (update.m_address.m_host == state.m_options.m_own_address.m_host)
    return;
  PeerEntry& peer = state.m_peers[update.m_address.m_host];
  if (!HasRecentUpdate(state, peer, now)) {
    LogLine("peer_heard")
        .With("host", update.m_address.m_host)
        .With("ready", update.m_ready)
        .Info();
  }
  NotePeerEra(state, update.m_operator_revision.m_era, update.m_era_age,
              update.m_address.m_host);
  peer.m_address = update.m_address;
  peer.m_ready = update.m_ready;
  peer.m_last_seen_at = now;
  peer.m_operator_revision = update.m_operator_revision;
  peer.m_replicas_hash = update.m_replicas_hash;
  peer.m_replicas_confirmed_at = now - update.m_replicas_age;
  peer.m_config_version = update.m_config_version;
  ApplyStoreProof(state, peer, update);
  if (update.m_remote_entries) {
    state.m_remote_entries =
        std::max(state.m_remote_entries.value_or(0), *update.m_remote_entries);
  }
  ApplyEvacuationReports(state, update.m_evacuations, update.m_address.m_host);
  ApplyDeclarationReports(state, update.m_declarations,
                          update.m_address.m_host);
  ApplyStatementList(state, update.m_statements, update.m_address.m_host, now);
  ApplyHolderClaims(state, update.m_statements, update.m_address.m_host, now);
  ApplyCrashReports(state, update.m_crash_reports, update.m_address.m_host,
                    true, now);
  RecordLocalCrashes(state, update.m_crashes, now);
  ApplyCrashRecords(state, update.m_crashes, now);
}

void ApplyUpdate(EntryState& state,
                 const links::ReplicaUpdate& update,
                 TimePoint now) {
  const auto service = state.m_services.find(update.m_service);
  if (service == state.m_services.end())
    return;
  const auto found = service->second.m_pool.m_replicas.find(update.m_replica);
  if (found == service->second.m_pool.m_replicas.end())
    return;
  decide::ReplicaState& replica = found->second;
  if (IsOfOtherIncarnation(replica.m_replica,
                           update.m_statements.m_started_ms)) {
    state.m_metrics.Count("updates_of_other_incarnations_total", "");
    return;
  }
  const bool was_loading = replica.m_loading_until > now;
  if (was_loading != update.m_loading ||
      update.m_version != replica.m_weights) {
    RecordReplicaChange(
        state.m_replica_changes, update.m_replica,
        {replica.m_weights, update.m_version, update.m_loading});
  }
  if (update.m_loading && !was_loading)
    replica.m_loading_since = now;
  replica.m_closing_until = update.m_closing ? now + kLoadingHold : TimePoint();
  replica.m_loading_until = update.m_loading ? now + kLoadingHold : TimePoint();
  replica.m_weights = update.m_version;
  replica.m_other_entries_calls = update.m_other_entries_calls.m_calls;
  replica.m_other_entries_unread_tokens =
      update.m_other_entries_calls.m_unread_tokens;
  replica.m_queued_calls = update.m_queued_calls;
  replica.m_speed.m_stated_pace =
      static_cast<double>(update.m_pace_percent) / links::kUsualPacePercent;
  replica.m_speed.m_stated_at = now;
  ApplyStatements(state, replica, update.m_statements, "target", now);
  if (update.m_rate_hold_off > Duration())
    HoldBackReplica(state, replica, "target", update.m_rate_hold_off);
}

const PeerEntry* FindStoreReader(const EntryState& state, TimePoint now) {
  for (const auto& [host, peer] : state.m_peers) {
    if (!state.m_store_unavailable &&
        host >= state.m_options.m_own_address.m_host)
      break;
    if (IsInSameDataCenter(state, peer) && HasRecentUpdate(state, peer, now) &&
        peer.m_ready && !StatesNoEra(state, peer) &&
        peer.m_proved_at + kMaxProofAge > BootNow() &&
        now - peer.m_replicas_confirmed_at < kMaxReplicaListAge)
      return &peer;
  }
  return nullptr;
}

const PeerEntry* PickNewerPeer(EntryState& state, TimePoint now) {
  std::vector<const PeerEntry*> candidates;
  for (const auto& [host, peer] : state.m_peers) {
    if (!IsInSameDataCenter(state, peer) ||
        !HasRecentUpdate(state, peer, now) || StatesNoEra(state, peer) ||
        !HasNewerRows(state, peer))
      continue;
    if (!candidates.empty() &&
        NewestRows(peer) < NewestRows(*candidates.front()))
      continue;
    if (!candidates.empty() &&
        NewestRows(peer) > NewestRows(*candidates.front()))
      candidates.clear();
    candidates.push_back(&peer);
  }
  return candidates.empty() ? nullptr
                            : candidates[state.m_random() % candidates.size()];
}

const PeerEntry& PickReplicaListPeer(EntryState& state,
                                     const PeerEntry& reader,
                                     TimePoint now) {
  std::vector<const PeerEntry*> sources;
  for (const auto& [host, peer] : state.m_peers) {
    if (IsInSameDataCenter(state, peer) && HasRecentUpdate(state, peer, now) &&
        peer.m_replicas_hash == reader.m_replicas_hash)
      sources.push_back(&peer);
  }
  return sources.empty() ? reader : *sources[state.m_random() % sources.size()];
}

size_t CountLivePredecessors(const EntryState& state, TimePoint now) {
  size_t before = 0;
  for (const auto& [host, peer] : state.m_peers) {
    if (host >= state.m_options.m_own_address.m_host)
      break;
    if (IsInSameDataCenter(state, peer) && HasRecentUpdate(state, peer, now))
      ++before;
  }
  return before;
}

size_t CountListedPredecessors(const EntryState& state) {
  size_t before = 0;
  for (const auto& [host, peer] : state.m_peers) {
    if (host >= state.m_options.m_own_address.m_host)
      break;
    if (IsInSameDataCenter(state, peer))
      ++before;
  }
  return before;
}

}  // namespace verbenalead::entry
