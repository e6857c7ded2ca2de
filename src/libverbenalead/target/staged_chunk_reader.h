#ifndef VERBENALEAD_TARGET_STAGED_CHUNK_READER_H_
#define VERBENALEAD_TARGET_STAGED_CHUNK_READER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "model/engine_profile.h"
#include "platform/engine_client.h"

namespace verbenalead::target {

/// Called with the number of a chunk and the answer of the engine to its read.
/// Returns whether further chunks are to be read.
using StagedChunkHandler =
    std::function<bool(uint32_t chunk, const AsyncResult<std::string>& bytes)>;

/// Number of staged chunks of `profile` that are read at the same time.
uint32_t ParallelReads(const model::EngineProfile& profile);

/// Reads all staged chunks of `profile` from `engine`, several at a time, and
/// calls `handle` for each answer, in any order. Returns when no read is under
/// way any more.
///
/// Load: all chunks are read back before each load. Harm: a read waits for the
/// engine most of the time, so that a read-back of one chunk after the other
/// delayed the loads by up to 0.7 s. When `handle` returns false, no further
/// read is begun, but `handle` still gets the answers to those under way.
Awaitable<void> ReadStagedChunks(platform::EngineClient& engine,
                                 const model::EngineProfile& profile,
                                 const StagedChunkHandler& handle);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_STAGED_CHUNK_READER_H_
