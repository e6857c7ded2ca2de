#ifndef VERBENALEAD_MODEL_MANIFEST_H_
#define VERBENALEAD_MODEL_MANIFEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"

namespace verbenalead::model {

/// Lists the chunks of one version of a model's weights. The version is
/// identified by the digest of all its bytes, never by a name: if a name is
/// declared again with other bytes, it denotes another version.
///
///     BOOST_LEAF_AUTO(manifest, ManifestBuilder()
///         .WeightsDigest(weights_digest).Size(bytes).ChunkSize(1 << 20)
///         .Chunk(first)...Build());
class Manifest {
 public:
  Manifest() = default;

  /// Digest of all bytes of the weights.
  const Digest& digest() const { return m_digest; }
  /// Total size in bytes.
  uint64_t size() const { return m_size; }
  /// Size in bytes of each chunk except the last, which may be shorter.
  uint64_t chunk_size() const { return m_chunk_size; }
  const std::vector<Digest>& chunks() const { return m_chunks; }
  uint32_t chunk_count() const {
    return static_cast<uint32_t>(m_chunks.size());
  }
  /// Returns the size of chunk `index` in bytes; 0 if there is no such chunk.
  uint64_t ChunkLength(uint32_t index) const;

  friend auto operator<=>(const Manifest&, const Manifest&) = default;

 private:
  friend class ManifestBuilder;

  Digest m_digest;
  uint64_t m_size = 0;
  uint64_t m_chunk_size = 0;
  std::vector<Digest> m_chunks;
};

/// Formats `manifest` as a JSON document.
std::string ToJson(const Manifest& manifest);
/// Parses the output of ToJson. Fails with kInvalid; the reason names the
/// invalid field.
Result<Manifest> ParseManifest(std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_MANIFEST_H_
