#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_SCHEDULE_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_SCHEDULE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "decide/transfer/transfer_state.h"

namespace verbenalead::decide {

/// Operations on a TransferState that keep its records consistent: which chunk
/// is in which schedule, and which fetch is in progress. The records depend on
/// each other, so only these functions change them.

/// The index of the followed `host`.
std::optional<size_t> FindNeighbour(const TransferState& state,
                                    const std::string& host);

/// Moves `chunk` to the schedule that matches its state: rarest first, imports
/// or origin fetches; to none if it is stored or being fetched.
void ScheduleChunk(TransferState& state, uint32_t chunk);

/// Reschedules the import of `chunk` to `until`.
void DeferImport(TransferState& state, uint32_t chunk, TimePoint until);

/// Records whether neighbour `index` has `chunk`.
void SetHasChunk(TransferState& state,
                 uint32_t chunk,
                 size_t index,
                 bool holds,
                 TimePoint now);

/// Follows `member`, if fewer than the maximum number of neighbours are
/// followed.
void AddNeighbour(TransferState& state, const TransferMember& member);
/// Removes neighbour `index` and cancels fetches from it.
void RemoveNeighbour(TransferState& state, size_t index, TimePoint now);

/// Starts the fetch of `chunk` and adds it to `actions`.
void StartFetch(TransferState& state,
                uint32_t chunk,
                ChunkSource source,
                TimePoint now,
                TransferActions& actions);
/// Ends the fetch of `chunk`; nullopt if none was in progress.
std::optional<TransferState::Fetch> EndFetch(TransferState& state,
                                             uint32_t chunk);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_SCHEDULE_H_
