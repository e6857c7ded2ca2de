#ifndef VERBENALEAD_ENTRY_STORE_RETURN_H_
#define VERBENALEAD_ENTRY_STORE_RETURN_H_

#include <string>

#include "entry/entry_state.h"

namespace verbenalead::entry {

/// What an entry does when the store comes back from an older copy.

/// Records that `source` (the store or another entry) states `era`, and logs it
/// if it follows an older one. Returns false if `era` is older than the newest
/// known one: what comes with it was said before the store came back.
bool NoteStoreEra(EntryState& state, uint64_t era, const std::string& source);

/// Records that the entry `host` has `era`, and has known for `age` that the
/// store came back from a copy.
void NotePeerEra(EntryState& state,
                 uint64_t era,
                 std::optional<Duration> age,
                 const std::string& host);

/// When the store was first known to have come back from a copy, in its present
/// era; the epoch of the clock if this process has known no older era.
TimePoint StoreReturnedAt(const EntryState& state);

/// How long that is ago, for other entries; absent if unknown or long ago.
std::optional<Duration> StoreEraAge(const EntryState& state);

/// Applies a confirmation by the store that this entry's configuration is the
/// newest, given at `proved_at` by the local clock: renews the lease on keys,
/// unless the store has just come back from a copy.
void ApplyProof(EntryState& state, Duration proved_at);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_STORE_RETURN_H_
