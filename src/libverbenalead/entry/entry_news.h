#ifndef VERBENALEAD_ENTRY_ENTRY_NEWS_H_
#define VERBENALEAD_ENTRY_ENTRY_NEWS_H_

#include "entry/entry_state.h"
#include "links/entry_news.h"
#include "links/replica_news.h"

namespace verbenalead::entry {

/// Whether it is in this entry's data centre.
bool IsNear(const EntryState& state, const PeerEntry& peer);

/// Whether the entry was heard of not long ago.
bool IsHeard(const EntryState& state, const PeerEntry& peer, TimePoint now);

/// What this entry has at a replica, for its target.
links::ReplicaCalls CallsAt(const decide::ReplicaState& replica);

/// Takes over which crashes the others have to be told of; true: there are new
/// ones.
bool TakeOwnCrashes(EntryState& state, TimePoint now);

/// Leaves as many notes as fit into a datagram. Failure: hundreds of calls
/// break with their replicas at once. Symptom: news that hold all of them are
/// too large to be sent, and the entry is taken for dead. The newest are told;
/// a request that goes on to crash replicas is among them again.
void KeepNewest(std::vector<decide::CrashNote>& notes);

/// What this entry tells the others.
links::EntryNews NewsOf(const EntryState& state);

/// The store's time at which it last said that this entry knows the newest
/// change; zero where the store doesn't answer it now.
Duration ProofOf(const EntryState& state);

/// Takes in what another entry of this data centre told.
void TakeNews(EntryState& state, const links::EntryNews& news, TimePoint now);

/// Another entry knows `revision`, and the store proved at `proof`, by its own
/// clock, that there was nothing newer. That proves the same to this one if it
/// knows as much. Returns the time of the proof by the own clock; nothing where
/// that can't be told.
std::optional<Duration> TakeProof(EntryState& state,
                                  uint64_t revision,
                                  Duration proof);

/// Takes in crashes that other entries saw.
void TakeCrashes(EntryState& state,
                 std::vector<decide::CrashNote> crashes,
                 TimePoint now);

/// Takes in what a target process told of its replica.
void TakeNews(EntryState& state, const links::ReplicaNews& news, TimePoint now);

/// The near entry that reads the store for this one too, or null: this one
/// reads itself.
///
/// Each question to the store costs the users a call; 44 entries that all asked
/// made these calls the largest price of a calm day. So in each data centre the
/// entry whose name is least reads, and tells the others by a hash of its list
/// of replicas, the newest change of the operator's table, and the store's time
/// of its proof; whoever has something else takes it over from there. An entry
/// that the store doesn't answer leaves it to any other one that reads.
const PeerEntry* ReaderFor(const EntryState& state, TimePoint now);

/// A near entry that knows the newest changes of the operator's table, or null
/// if this entry knows them too. One of those that do, by chance: 14 entries
/// that all took 390 KB over from the same one would wait for its link.
const PeerEntry* AheadOf(EntryState& state, TimePoint now);

/// A near entry that has the same replicas as `reader`, by chance, to take them
/// over from. At 100 processes a data centre and 3,000 replicas the reader
/// alone would hand on 100 MB over a link of 40 Mbit/s after a start of
/// everything.
const PeerEntry& ReplicaSource(EntryState& state,
                               const PeerEntry& reader,
                               TimePoint now);

/// How many near entries come before this one in the order of taking over.
size_t EntriesBefore(const EntryState& state, TimePoint now);

/// The same of all near entries that the store lists, heard of or not.
size_t ListedBefore(const EntryState& state);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_NEWS_H_
