#ifndef VERBENALEAD_MODEL_VERSION_SPEC_H_
#define VERBENALEAD_MODEL_VERSION_SPEC_H_

#include <string>
#include <string_view>

#include "base/digest.h"

namespace verbenalead::model {

/// The spec of a `version` resource: the location of its weights and the
/// digests that identify their bytes.
struct VersionSpec {
  std::string m_name;
  std::string m_model;
  /// Path of the weights at the origin.
  std::string m_weights;
  /// Path of the manifest at the origin, and the digest of that document.
  std::string m_manifest;
  Digest m_manifest_digest;
  /// Digest of all bytes of the weights: the identity of the version.
  Digest m_digest;

  friend auto operator<=>(const VersionSpec&, const VersionSpec&) = default;
};

Result<VersionSpec> ParseVersionSpec(const std::string& name,
                                     std::string_view json);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_VERSION_SPEC_H_
