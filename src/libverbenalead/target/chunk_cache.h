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
  std::vector<Digest> m_digests;
  /// Null: not here yet.
  std::vector<std::shared_ptr<const std::string>> m_chunks;
  uint32_t m_held = 0;
};

/// The weights that this process passes on: the newest versions of one model,
/// in memory. A chunk comes in only if its digest is right, so one that is here
/// belongs to its version, whoever sent it.
class ChunkCache {
 public:
  /// Begins `version` unless it is there already; forgets all but the two
  /// newest.
  void Begin(uint64_t version, std::vector<Digest> digests);
  /// Null where it hasn't begun.
  const CachedVersion* Find(uint64_t version) const;
  const std::map<uint64_t, CachedVersion>& versions() const {
    return m_versions;
  }
  bool Complete(uint64_t version) const;
  /// Part of the chunks that is here, 0 to 1.
  double ShareHeld(uint64_t version) const;
  std::vector<uint32_t> Held(uint64_t version) const;
  /// Keeps `bytes` if they are the chunk; false: they are something else.
  bool Put(uint64_t version, uint32_t chunk, std::string bytes);
  /// Forgets a version whose digests turned out to be wrong.
  void Drop(uint64_t version) { m_versions.erase(version); }

 private:
  std::map<uint64_t, CachedVersion> m_versions;
};

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_CHUNK_CACHE_H_
