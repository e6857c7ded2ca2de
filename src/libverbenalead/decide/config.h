#ifndef VERBENALEAD_DECIDE_CONFIG_H_
#define VERBENALEAD_DECIDE_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "model/change.h"
#include "model/version_spec.h"

namespace verbenalead::decide {

/// A resource as it is in force here.
struct ResourceInForce {
  std::string m_spec;
  /// The revision of the change that set it.
  uint64_t m_revision = 0;
  /// Who set it, so that whoever loses a race is told who won.
  std::string m_operation;
  std::string m_operator;

  friend auto operator<=>(const ResourceInForce&,
                          const ResourceInForce&) = default;
};

/// The configuration that is in force in this process: all changes up to
/// m_revision, applied in order.
struct ConfigState {
  uint64_t m_revision = 0;
  std::map<model::ResourceKey, ResourceInForce> m_resources;

  friend bool operator==(const ConfigState&, const ConfigState&) = default;
};

enum class ApplyResult {
  kApplied,
  kOld,  ///< Already in force; nothing was changed.
  kGap,  ///< A change before it is missing; nothing was changed.
};

/// Puts `change` into force if it is the next one. A process that wakes with
/// old news, or hears it twice, changes nothing: the revision only ever rises.
ApplyResult Apply(ConfigState& state, const model::Change& change);

/// The pool that answers for `model_name`, by its route; nullopt if no route
/// names it.
std::optional<std::string> PoolForModel(const ConfigState& state,
                                        const std::string& model_name);
/// The pool that answers for the plain service `service_name`.
std::optional<std::string> PoolForService(const ConfigState& state,
                                          const std::string& service_name);
/// The version that `pool` is to serve; nullopt for a plain service's pool or
/// where the version is not declared.
std::optional<model::VersionSpec> VersionForPool(const ConfigState& state,
                                                 const std::string& pool);

/// The whole state as JSON, for a process that starts with nothing.
std::string ToJson(const ConfigState& state);
Result<ConfigState> ParseConfigState(std::string_view json);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_H_
