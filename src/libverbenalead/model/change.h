#ifndef VERBENALEAD_MODEL_CHANGE_H_
#define VERBENALEAD_MODEL_CHANGE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "model/resource_key.h"

namespace verbenalead::model {

/// One committed configuration change. Revisions number all changes in a single
/// sequence without gaps.
struct Change {
  uint64_t m_revision = 0;
  ResourceKey m_key;
  bool m_deleted = false;
  /// The resource's spec, a JSON object.
  std::string m_spec;
  /// Operation id chosen by the operator; makes the write idempotent.
  std::string m_operation;
  std::string m_operator;

  friend auto operator<=>(const Change&, const Change&) = default;
};

std::string ToJson(const Change& change);
Result<Change> ParseChange(std::string_view json);

/// Validates the spec of a resource. Fails with kInvalid; the reason names the
/// path of the invalid field.
Result<void> CheckSpec(const ResourceKey& key, std::string_view spec);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_CHANGE_H_
