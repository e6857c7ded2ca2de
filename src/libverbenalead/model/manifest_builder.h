#ifndef VERBENALEAD_MODEL_MANIFEST_BUILDER_H_
#define VERBENALEAD_MODEL_MANIFEST_BUILDER_H_

#include "model/manifest.h"

namespace verbenalead::model {

/// Builds a Manifest; Build() checks that size and chunks agree.
class ManifestBuilder {
 public:
  ManifestBuilder& Whole(const Digest& whole);
  ManifestBuilder& Size(uint64_t bytes);
  ManifestBuilder& ChunkSize(uint64_t bytes);
  ManifestBuilder& Chunk(const Digest& digest);

  /// Fails with kInvalid if the chunks don't add up to the size.
  Result<Manifest> Build() const;

 private:
  Manifest m_manifest;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_MANIFEST_BUILDER_H_
