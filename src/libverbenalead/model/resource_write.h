#ifndef VERBENALEAD_MODEL_RESOURCE_WRITE_H_
#define VERBENALEAD_MODEL_RESOURCE_WRITE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "model/resource_key.h"

namespace verbenalead::model {

/// An operator's request to set or delete one resource.
struct ResourceWrite {
  ResourceKey m_key;
  bool m_deleted = false;
  std::string m_spec;
  /// The revision that the resource must have for the write to succeed
  /// (compare-and-swap). 0: the resource must be absent; nullopt: any revision.
  std::optional<uint64_t> m_expected_revision;
  /// Operation id chosen by the operator; makes the write idempotent.
  std::string m_operation;
  std::string m_operator;

  friend auto operator<=>(const ResourceWrite&, const ResourceWrite&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_RESOURCE_WRITE_H_
