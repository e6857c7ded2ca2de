#ifndef VERBENALEAD_TARGET_CHUNK_CACHE_H_
#define VERBENALEAD_TARGET_CHUNK_CACHE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/digest.h"

namespace verbenalead::target {

/// The verified chunks of one version of a model's weights.
struct CachedVersion {
  struct Chunk {
    Digest m_digest;
    /// The bytes of the chunk; null if they are not in memory.
    std::shared_ptr<const std::string> m_bytes;
    /// The engine's staging area holds the chunk, as of the last check.
    bool m_staged = false;

    /// Whether this host holds the chunk, in memory or staged.

    bool IsPresent() const { return m_staged || m_bytes; }
  };

  std::vector<Chunk> m_chunks;
};

/// Tracks the weight chunks that this host holds and serves to other hosts, for
/// the two newest versions of one model. A chunk is accepted only if its digest
/// matches, so that a held chunk belongs to its version whichever host sent it.
/// Without the check an engine could load corrupt weights or a mix of versions.
///
/// The bytes of a chunk stay in memory only until the chunk has been staged in
/// the engine on this host. Staged chunks survive a crash of this process, and
/// two versions in memory took 4.7 MB of the 7.6 MB of a target process.
class ChunkCache {
 public:
  /// Adds `version`, without any chunks, unless it exists; removes all but the
  /// two newest versions.
  void AddVersion(uint64_t version, const std::vector<Digest>& digests);
  /// Returns null for a version that was not added or has been removed.
  const CachedVersion* Find(uint64_t version) const;
  const std::map<uint64_t, CachedVersion>& versions() const {
    return m_versions;
  }
  /// Whether all chunks are held, in memory or staged.
  bool Complete(uint64_t version) const;
  /// Whether all chunks are staged.
  bool Staged(uint64_t version) const;
  /// Share of the chunks that are held, 0 to 1.
  double HeldShare(uint64_t version) const;
  /// Numbers of the chunks that are held.
  std::vector<uint32_t> Held(uint64_t version) const;
  /// Numbers of the chunks that are in memory and not staged.
  std::vector<uint32_t> UnstagedChunks(uint64_t version) const;
  /// Stores `bytes` if their digest is that of the chunk; returns false
  /// otherwise.
  bool Put(uint64_t version, uint32_t chunk, std::string bytes);
  /// Records that the chunk has been staged. It overwrites the chunk of the
  /// same number of any other version; the copy in memory is released.
  void RecordStaged(uint64_t version, uint32_t chunk);
  /// Returns whether `bytes`, read from the staging area, match the digest of
  /// the chunk, and records the chunk as staged or not staged accordingly.
  bool VerifyStaged(uint64_t version, uint32_t chunk, const std::string& bytes);
  /// Records that the staging area no longer holds the chunk.
  void RecordUnstaged(uint64_t version, uint32_t chunk);
  /// Records that no chunk is known to be staged, as after a restart of the
  /// engine.
  void RecordAllUnstaged();
  /// Removes a version whose digests are found to be wrong.
  void Drop(uint64_t version) { m_versions.erase(version); }

 private:
  CachedVersion::Chunk* FindChunk(uint64_t version, uint32_t chunk);

  std::map<uint64_t, CachedVersion> m_versions;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_CACHE_H_
