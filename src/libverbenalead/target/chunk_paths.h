#ifndef VERBENALEAD_TARGET_CHUNK_PATHS_H_
#define VERBENALEAD_TARGET_CHUNK_PATHS_H_

#include <cstdint>
#include <string>

#include "target/chunk_cache.h"

namespace verbenalead::target {

/// Where other targets get the digests of a version, a line each.
std::string DigestsPath(const std::string& model, uint64_t version);
std::string FormatDigests(const CachedVersion& version);
/// Empty where `text` can't be read.
std::vector<Digest> ParseDigests(const std::string& text);

/// Fields of the query of a request for a chunk: 1 where the sender is in
/// another data centre, and how many chunks of the version it has.
inline constexpr char kFarField[] = "far";
inline constexpr char kHeldField[] = "held";

/// Where other targets get a chunk.
std::string ChunkPath(const std::string& model,
                      uint64_t version,
                      uint32_t chunk);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_PATHS_H_
