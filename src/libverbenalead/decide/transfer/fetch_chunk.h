#ifndef VERBENALEAD_DECIDE_TRANSFER_FETCH_CHUNK_H_
#define VERBENALEAD_DECIDE_TRANSFER_FETCH_CHUNK_H_

#include <cstdint>

#include "decide/transfer/chunk_source.h"

namespace verbenalead::decide {

/// Instruction to the daemon: fetch `m_chunk` from `m_source` and report the
/// result by RecordChunkArrival or RecordChunkFailure.
struct FetchChunk {
  uint32_t m_chunk = 0;
  ChunkSource m_source;

  friend auto operator<=>(const FetchChunk&, const FetchChunk&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_FETCH_CHUNK_H_
