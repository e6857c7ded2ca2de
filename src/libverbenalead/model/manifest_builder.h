#ifndef VERBENALEAD_MODEL_MANIFEST_BUILDER_H_
#define VERBENALEAD_MODEL_MANIFEST_BUILDER_H_

#include "model/manifest.h"

namespace verbenalead::model {

/// Builds a Manifest and checks that the size matches the number of chunks.
class ManifestBuilder {
 public:
  ManifestBuilder& WeightsDigest(const Digest& weights_digest);
  ManifestBuilder& Size(uint64_t bytes);
  ManifestBuilder& ChunkSize(uint64_t bytes);
  ManifestBuilder& Chunk(const Digest& digest);

  /// Fails with kInvalid if size and chunk size do not give the number of
  /// chunks.
  Result<Manifest> Build() const;

 private:
  Manifest m_manifest;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_MANIFEST_BUILDER_H_
