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
  /// A chunk that is neither staged nor in memory isn't here.
  struct Chunk {
    Digest m_digest;
    /// Its bytes, where they are in memory.
    std::shared_ptr<const std::string> m_bytes;
    /// It lies in the engine's staging area, as far as is known.
    bool m_staged = false;

    bool IsHere() const { return m_staged || m_bytes; }
  };

  std::vector<Chunk> m_chunks;
};

/// The weights that this process passes on: the newest versions of one model. A
/// chunk comes in only if its digest is right, so one that is here belongs to
/// its version, whoever sent it.
///
/// A chunk is in memory only until it has been staged beside the engine on this
/// host. What is staged outlives a crash of this process, and two versions in
/// memory were 4.7 of the 7.6 MB that a target process took.
class ChunkCache {
 public:
  /// Begins `version` unless it is there already; forgets all but the two
  /// newest.
  void Begin(uint64_t version, const std::vector<Digest>& digests);
  /// Null where it hasn't begun.
  const CachedVersion* Find(uint64_t version) const;
  const std::map<uint64_t, CachedVersion>& versions() const {
    return m_versions;
  }
  bool Complete(uint64_t version) const;
  /// All chunks are here, and all of them are staged.
  bool Staged(uint64_t version) const;
  /// Part of the chunks that is here, 0 to 1.
  double ShareHeld(uint64_t version) const;
  std::vector<uint32_t> Held(uint64_t version) const;
  /// Chunks that are in memory and not staged.
  std::vector<uint32_t> Unstaged(uint64_t version) const;
  /// Keeps `bytes` if they are the chunk; false: they are something else.
  bool Put(uint64_t version, uint32_t chunk, std::string bytes);
  /// The chunk has been staged, in place of that of any other version.
  void NoteStaged(uint64_t version, uint32_t chunk);
  /// Whether `bytes`, read from the staging area, are the chunk; notes it.
  bool CheckStaged(uint64_t version, uint32_t chunk, const std::string& bytes);
  /// The staging area doesn't hold the chunk any more.
  void ForgetStaged(uint64_t version, uint32_t chunk);
  /// Nothing is known of the staging area any more: the engine started anew.
  void ForgetAllStaged();
  /// Forgets a version whose digests turned out to be wrong.
  void Drop(uint64_t version) { m_versions.erase(version); }

 private:
  CachedVersion::Chunk* FindChunk(uint64_t version, uint32_t chunk);

  std::map<uint64_t, CachedVersion> m_versions;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_CACHE_H_
