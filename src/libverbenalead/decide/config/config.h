#ifndef VERBENALEAD_DECIDE_CONFIG_CONFIG_H_
#define VERBENALEAD_DECIDE_CONFIG_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "model/change.h"
#include "model/version_spec.h"

namespace verbenalead::decide {

/// A resource of the configuration that is in force in this process.
struct ActiveResource {
  std::string m_spec;
  /// The revision of the change that set it.
  uint64_t m_revision = 0;
  /// Operation and operator that set it, so that a write that loses against a
  /// concurrent one can be refused with the name of the winner.
  std::string m_operation;
  std::string m_operator;

  friend auto operator<=>(const ActiveResource&,
                          const ActiveResource&) = default;
};

/// The configuration that is in force in this process: all changes up to
/// m_revision, applied in order.
struct ConfigState {
  uint64_t m_revision = 0;
  std::map<model::ResourceKey, ActiveResource> m_resources;

  friend bool operator==(const ConfigState&, const ConfigState&) = default;
};

enum class ApplyResult {
  kApplied,
  kAlreadyApplied,   ///< Already in force; nothing was changed.
  kMissingRevision,  ///< A change before it is missing; nothing was changed.
};

/// Applies `change` if it is the next revision. A process that resumes with
/// outdated changes, or receives a change twice, changes nothing: the revision
/// never decreases.
ApplyResult Apply(ConfigState& state, const model::Change& change);

/// The pool to which the route of `model_name` leads; nullopt if there is no
/// such route.
std::optional<std::string> PoolForModel(const ConfigState& state,
                                        const std::string& model_name);
/// The pool of the plain service `service_name`; nullopt if there is no such
/// service.
std::optional<std::string> PoolForService(const ConfigState& state,
                                          const std::string& service_name);
/// The version that `pool` has to serve; nullopt if the pool belongs to a plain
/// service or the version is not declared.
std::optional<model::VersionSpec> VersionForPool(const ConfigState& state,
                                                 const std::string& pool);

/// The whole state as JSON, for a process that starts without a configuration.
std::string ToJson(const ConfigState& state);
Result<ConfigState> ParseConfigState(std::string_view json);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_CONFIG_H_
