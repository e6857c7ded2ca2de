#ifndef VERBENALEAD_TARGET_CHUNK_PATHS_H_
#define VERBENALEAD_TARGET_CHUNK_PATHS_H_

#include <cstdint>
#include <string>

#include "target/chunk_cache.h"

namespace verbenalead::target {

/// Path at which a target serves the digests of a version, one per line.
std::string DigestsPath(const std::string& model, uint64_t version);
std::string FormatDigests(const CachedVersion& version);
/// Returns an empty vector if `text` is malformed.
std::vector<Digest> ParseDigests(const std::string& text);

/// Query fields of a request for a chunk: `far` is 1 if the requesting host is
/// in another data centre, `held` is the number of chunks of the version that
/// the requesting host has.
inline constexpr char kRemoteField[] = "far";
inline constexpr char kHeldField[] = "held";

/// Path at which a target serves a chunk.
std::string ChunkPath(const std::string& model,
                      uint64_t version,
                      uint32_t chunk);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_PATHS_H_
