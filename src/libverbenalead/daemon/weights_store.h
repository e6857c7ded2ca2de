#ifndef VERBENALEAD_DAEMON_WEIGHTS_STORE_H_
#define VERBENALEAD_DAEMON_WEIGHTS_STORE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/digest.h"
#include "model/manifest.h"

namespace verbenalead::daemon {

/// The weights that this process holds in memory. Versions are keyed by the
/// digest of their complete weights, so that chunks of two versions can't be
/// mixed. A chunk is stored only if its digest is the one in the manifest; a
/// corrupt chunk would otherwise spread to other hosts. Thread-safe.
class WeightsStore {
 public:
  using Chunk = std::shared_ptr<const std::string>;

  explicit WeightsStore(uint64_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Reserves memory for the version of `manifest`. Fails with kRefused if the
  /// total would exceed the limit. `text` is the manifest document, which is
  /// served to other hosts.
  Result<void> Reserve(const model::Manifest& manifest, std::string text);
  /// Stores a chunk. Fails with kCorrupt, and stores nothing, if the chunk's
  /// digest isn't the one in the manifest.
  Result<void> Put(const Digest& digest, uint32_t index, std::string bytes);

  /// Returns null if the store doesn't hold the chunk.
  Chunk Get(const Digest& digest, uint32_t index) const;
  std::optional<model::Manifest> GetManifest(const Digest& digest) const;
  /// Returns "" if the store doesn't hold the version.
  std::string ManifestText(const Digest& digest) const;
  /// Returns a bit set of the held chunks; chunk i is bit i % 8 of byte i / 8.
  /// Empty if the store doesn't hold the version.
  std::string HeldChunkBits(const Digest& digest) const;
  /// Returns the held chunks in their order of arrival, without the first
  /// `first` ones. Empty if the store doesn't hold the version.
  std::vector<uint32_t> ArrivalsSince(const Digest& digest, size_t first) const;
  std::vector<bool> HeldChunkFlags(const Digest& digest) const;
  uint32_t HeldChunkCount(const Digest& digest) const;
  void Drop(const Digest& digest);
  std::vector<Digest> Versions() const;

 private:
  struct Version {
    model::Manifest m_manifest;
    std::string m_text;
    std::vector<Chunk> m_chunks;
    uint32_t m_held_count = 0;
    std::vector<uint32_t> m_arrivals;
  };

  const uint64_t m_max_bytes;
  mutable std::mutex m_mutex;
  uint64_t m_reserved = 0;
  std::map<Digest, Version> m_versions;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_WEIGHTS_STORE_H_
