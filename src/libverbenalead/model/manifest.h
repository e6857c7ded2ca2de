#ifndef VERBENALEAD_MODEL_MANIFEST_H_
#define VERBENALEAD_MODEL_MANIFEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"

namespace verbenalead::model {

/// What one version of a model's weights is made of. Its identity is the digest
/// of the whole, never a name: a version that is declared again with other
/// bytes is another version.
///
///     BOOST_LEAF_AUTO(manifest, ManifestBuilder()
///         .Whole(whole).Size(bytes).ChunkSize(1 <<
///         20).Chunk(first)...Build());
class Manifest {
 public:
  Manifest() = default;

  /// Digest of all bytes in order.
  const Digest& whole() const { return m_whole; }
  /// Bytes in total.
  uint64_t size() const { return m_size; }
  /// Bytes of each chunk but the last, which may be shorter.
  uint64_t chunk_size() const { return m_chunk_size; }
  const std::vector<Digest>& chunks() const { return m_chunks; }
  uint32_t chunk_count() const {
    return static_cast<uint32_t>(m_chunks.size());
  }
  /// Bytes of chunk `index`.
  uint64_t ChunkLength(uint32_t index) const;

  friend auto operator<=>(const Manifest&, const Manifest&) = default;

 private:
  friend class ManifestBuilder;

  Digest m_whole;
  uint64_t m_size = 0;
  uint64_t m_chunk_size = 0;
  std::vector<Digest> m_chunks;
};

/// The JSON document of `manifest`.
std::string ToJson(const Manifest& manifest);
/// Reads what ToJson writes. Fails with kInvalid, naming the wrong field.
Result<Manifest> ParseManifest(std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_MANIFEST_H_
