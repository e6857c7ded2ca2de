#ifndef VERBENALEAD_MODEL_RESOURCE_KEY_H_
#define VERBENALEAD_MODEL_RESOURCE_KEY_H_

#include <compare>
#include <string>
#include <vector>

namespace verbenalead::model {

/// Identifies one resource, e.g. {"pool", "drafting"}.
struct ResourceKey {
  std::string m_kind;
  std::string m_name;

  friend auto operator<=>(const ResourceKey&, const ResourceKey&) = default;
};

/// Formats `key` as "kind/name", e.g. "pool/drafting".
inline std::string ToString(const ResourceKey& key) {
  return key.m_kind + "/" + key.m_name;
}

/// Returns the kinds of resources that operators may declare.
const std::vector<std::string>& ResourceKinds();

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_RESOURCE_KEY_H_
