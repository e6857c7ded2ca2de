#include "model/manifest_builder.h"

namespace verbenalead::model {

ManifestBuilder& ManifestBuilder::WeightsDigest(const Digest& weights_digest) {
  m_manifest.m_digest = weights_digest;
  return *this;
}

ManifestBuilder& ManifestBuilder::Size(uint64_t bytes) {
  m_manifest.m_size = bytes;
  return *this;
}

ManifestBuilder& ManifestBuilder::ChunkSize(uint64_t bytes) {
  m_manifest.m_chunk_size = bytes;
  return *this;
}

ManifestBuilder& ManifestBuilder::Chunk(const Digest& digest) {
  m_manifest.m_chunks.push_back(digest);
  return *this;
}

Result<Manifest> ManifestBuilder::Build() const {
  const uint64_t size = m_manifest.m_size;
  const uint64_t chunk = m_manifest.m_chunk_size;
  const bool valid = size > 0 && chunk > 0 &&
                     m_manifest.m_chunks.size() == (size - 1) / chunk + 1;
  if (!valid) {
    return boost::leaf::new_error(
        Failure{FailureCode::kInvalid, "check manifest", "",
                "size, chunk_size and the number of chunks disagree"});
  }
  return m_manifest;
}

}  // namespace verbenalead::model
