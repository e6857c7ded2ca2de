#ifndef VERBENALEAD_MODEL_RESOURCE_WRITE_H_
#define VERBENALEAD_MODEL_RESOURCE_WRITE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "model/resource_key.h"

namespace verbenalead::model {

/// An operator's wish to set or delete one resource.
struct ResourceWrite {
  ResourceKey m_key;
  bool m_deleted = false;
  std::string m_spec;
  /// Compare-and-set: the revision the resource must have (0: absent);
  /// nullopt: any.
  std::optional<uint64_t> m_expected_revision;
  /// Names this write: a repeat of it is harmless.
  std::string m_operation;
  std::string m_operator;

  friend auto operator<=>(const ResourceWrite&, const ResourceWrite&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_RESOURCE_WRITE_H_
