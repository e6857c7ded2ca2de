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

/// The weights that this process holds in memory, by the digest of the whole,
/// so that chunks of two versions can never be mixed. Only verified chunks get
/// in. May be used from several threads.
class WeightsStore {
 public:
  using Chunk = std::shared_ptr<const std::string>;

  explicit WeightsStore(uint64_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Makes room for `manifest`. Fails with kRefused if it doesn't fit beside
  /// what is held. `text` is the manifest document, for peers that ask.
  Result<void> Begin(const model::Manifest& manifest, std::string text);
  /// Takes in a chunk. Fails with kCorrupt if its digest isn't the declared
  /// one: then nothing is kept.
  Result<void> Put(const Digest& whole, uint32_t index, std::string bytes);

  /// Null if it isn't here.
  Chunk Get(const Digest& whole, uint32_t index) const;
  std::optional<model::Manifest> GetManifest(const Digest& whole) const;
  /// "" if it isn't here.
  std::string ManifestText(const Digest& whole) const;
  /// Which chunks are here: bit i of byte i / 8; empty if the version isn't.
  std::string HaveBits(const Digest& whole) const;
  /// The chunks that are here, in the order in which they came, from the
  /// `first` on; empty if the version isn't here.
  std::vector<uint32_t> Arrivals(const Digest& whole, size_t first) const;
  std::vector<bool> Have(const Digest& whole) const;
  uint32_t HeldChunks(const Digest& whole) const;
  void Drop(const Digest& whole);
  std::vector<Digest> Versions() const;

 private:
  struct Version {
    model::Manifest m_manifest;
    std::string m_text;
    std::vector<Chunk> m_chunks;
    uint32_t m_held = 0;
    std::vector<uint32_t> m_arrivals;
  };

  const uint64_t m_max_bytes;
  mutable std::mutex m_mutex;
  uint64_t m_reserved = 0;
  std::map<Digest, Version> m_versions;
};

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_WEIGHTS_STORE_H_
