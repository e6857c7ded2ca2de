#ifndef VERBENALEAD_ENTRY_PEER_UPDATES_H_
#define VERBENALEAD_ENTRY_PEER_UPDATES_H_

#include "entry/entry_state.h"
#include "links/entry_update.h"
#include "links/replica_update.h"

namespace verbenalead::entry {

/// Whether `peer` is in this entry's data centre.
bool IsInSameDataCenter(const EntryState& state, const PeerEntry& peer);

/// Whether an update from or about `peer` arrived recently enough for it to
/// count as running.
bool HasRecentUpdate(const EntryState& state,
                     const PeerEntry& peer,
                     TimePoint now);

/// The calls of this entry at a replica, as reported to the replica's target
/// process. Slot requests that are still unanswered are left out.
links::ReplicaCalls ReportedCallsAt(const decide::ReplicaState& replica);

/// Moves newly observed crashes to the records that are sent to other entries,
/// and removes expired ones. Returns true if there are new ones.
bool CollectOwnCrashes(EntryState& state, TimePoint now);

/// Limits `records` to the newest that fit into one datagram. Failure: hundreds
/// of calls break together with their replicas. Symptom: an update with all
/// records is too large to be sent, and the other entries take this one for
/// dead. The oldest records can be dropped: a request that continues to crash
/// replicas produces new ones.
void LimitToDatagram(std::vector<decide::CrashRecord>& records);

/// The update that this entry sends to the other entries of its data centre.
links::EntryUpdate MakeEntryUpdate(const EntryState& state);

/// The store time at which the store last confirmed that this entry has the
/// newest revision of the operator's table; zero while the store does not
/// answer this entry.
Duration StoreProofOf(const EntryState& state);

/// Applies an update from another entry of this data centre.
void ApplyUpdate(EntryState& state,
                 const links::EntryUpdate& update,
                 TimePoint now);

/// Applies the proof of another entry that has `revision`: at `proof`, by the
/// store's clock, the store confirmed that nothing newer existed. If this entry
/// has that revision too, its lease is renewed by the same proof. Returns the
/// time of the proof on the local clock, or nothing while the offset of the
/// store's clock is unknown.
std::optional<Duration> ApplyPeerProof(EntryState& state,
                                       model::Revision revision,
                                       Duration proof);

/// Applies crash records of other entries.
void ApplyCrashRecords(EntryState& state,
                       std::vector<decide::CrashRecord> crashes,
                       TimePoint now);

/// Applies an update from a target process about its replica.
void ApplyUpdate(EntryState& state,
                 const links::ReplicaUpdate& update,
                 TimePoint now);

/// Returns the entry of this data centre that reads the store on behalf of this
/// one, or null if this entry has to read the store itself.
///
/// Each request to the store is charged to the users as a call; when 44 entries
/// all polled it, these requests were the largest cost of a day with little
/// load. So in each data centre only the entry with the smallest host name
/// reads the store. It sends the others a hash of its list of replicas, the
/// newest revision of the operator's table and the store time of its proof.
/// Entries whose rows differ fetch them within the data centre. An entry that
/// the store does not answer uses any other entry that reads.
const PeerEntry* FindStoreReader(const EntryState& state, TimePoint now);

/// Returns an entry of this data centre that has the newest known configuration
/// and revision of the operator's table, or null if this entry has both. One of
/// the entries that have it is chosen at random: 14 entries that all fetched
/// 390 KB from the same one would wait for its link.
const PeerEntry* PickNewerPeer(EntryState& state, TimePoint now);

/// Returns an entry of this data centre from which to fetch the list of
/// replicas: a random one of those that have the same list as `reader`. With
/// 100 processes in a data centre and 3,000 replicas, `reader` alone would have
/// to send 100 MB over a link of 40 Mbit/s after all processes have started at
/// once.
const PeerEntry& PickReplicaListPeer(EntryState& state,
                                     const PeerEntry& reader,
                                     TimePoint now);

/// Number of running entries of this data centre that precede this one in the
/// order of host names, in which entries take over reading the store.
size_t CountLivePredecessors(const EntryState& state, TimePoint now);

/// As CountLivePredecessors, but counts all entries of this data centre that
/// the store lists, whether or not an update of them has arrived.
size_t CountListedPredecessors(const EntryState& state);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PEER_UPDATES_H_
