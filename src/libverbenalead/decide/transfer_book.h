#ifndef VERBENALEAD_DECIDE_TRANSFER_BOOK_H_
#define VERBENALEAD_DECIDE_TRANSFER_BOOK_H_

#include <cstddef>
#include <optional>
#include <string>

#include "decide/transfer_state.h"

namespace verbenalead::decide {

/// The books of a transfer: which chunk stands in which schedule, which fetch
/// is under way. They change together, so only these functions change them.

/// The index of the followed `host`.
std::optional<size_t> FindNeighbour(const TransferState& state,
                                    const std::string& host);

/// Puts `chunk` where it belongs: among the rarest, the imports, the draws, or
/// nowhere if it is here or under way.
void FileChunk(TransferState& state, uint32_t chunk);

/// Looks at an import again at `until`.
void PostponeImport(TransferState& state, uint32_t chunk, TimePoint until);

/// Notes whether neighbour `index` has `chunk`.
void SetHolder(TransferState& state,
               uint32_t chunk,
               size_t index,
               bool holds,
               TimePoint now);

/// Follows `member`, if there is a free place.
void AddNeighbour(TransferState& state, const TransferMember& member);
/// Forgets neighbour `index`; fetches from it are given up.
void RemoveNeighbour(TransferState& state, size_t index, TimePoint now);

/// Begins the fetch of `chunk` and hands it out in `actions`.
void StartFetch(TransferState& state,
                uint32_t chunk,
                ChunkSource source,
                TimePoint now,
                TransferActions& actions);
/// Ends the fetch of `chunk`; nullopt if none was under way.
std::optional<TransferState::Fetch> EndFetch(TransferState& state,
                                             uint32_t chunk);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_BOOK_H_
