#include "decide/config/config.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::decide {
namespace {

namespace json = boost::json;

/// Text member `name` of the spec of `key`; nullopt where either is absent.
std::optional<std::string> SpecText(const ConfigState& state,
                                    const model::ResourceKey& key,
                                    const std::string& name) {
  auto found = state.m_resources.find(key);
  if (found == state.m_resources.end())
    return std::nullopt;
  auto text = CatchFailure([&]() -> Result<std::string> {
    BOOST_LEAF_AUTO(spec, model::ParseObject(found->second.m_spec, "spec"));
    return model::TextField(spec, name);
  });
  return text ? std::optional<std::string>(*text) : std::nullopt;
}

}  // namespace

ApplyResult Apply(ConfigState& state, const model::Change& change) {
  if (change.m_revision <= state.m_revision)
    return ApplyResult::kAlreadyApplied;
  if (change.m_revision != state.m_revision + 1)
    return ApplyResult::kMissingRevision;
  if (change.m_deleted) {
    state.m_resources.erase(change.m_key);
  } else {
    state.m_resources[change.m_key] = {change.m_spec, change.m_revision,
                                       change.m_operation, change.m_operator};
  }
  state.m_revision = change.m_revision;
  return ApplyResult::kApplied;
}

std::optional<std::string> PoolForModel(const ConfigState& state,
                                        const std::string& model_name) {
  return SpecText(state, {"route", model_name}, "pool");
}

std::optional<std::string> PoolForService(const ConfigState& state,
                                          const std::string& service_name) {
  return SpecText(state, {"service", service_name}, "pool");
}

std::optional<model::VersionSpec> VersionForPool(const ConfigState& state,
                                                 const std::string& pool) {
  const auto version = SpecText(state, {"pool", pool}, "version");
  if (!version)
    return std::nullopt;
  auto found = state.m_resources.find({"version", *version});
  if (found == state.m_resources.end())
    return std::nullopt;
  auto spec = CatchFailure(
      [&] { return model::ParseVersionSpec(*version, found->second.m_spec); });
  return spec ? std::optional<model::VersionSpec>(*spec) : std::nullopt;
}

std::string ToJson(const ConfigState& state) {
  json::array resources;
  for (const auto& [key, resource] : state.m_resources) {
    resources.push_back(json::object{{"kind", key.m_kind},
                                     {"name", key.m_name},
                                     {"revision", resource.m_revision},
                                     {"operation", resource.m_operation},
                                     {"operator", resource.m_operator},
                                     {"spec", resource.m_spec}});
  }
  return json::serialize(json::object{{"revision", state.m_revision},
                                      {"resources", std::move(resources)}});
}

Result<ConfigState> ParseConfigState(std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "configuration"));
  ConfigState state;
  BOOST_LEAF_ASSIGN(state.m_revision, model::NumberField(object, "revision"));
  const json::value* resources = object.if_contains("resources");
  if (resources == nullptr || !resources->is_array())
    return model::BadField("resources", "a list");
  for (const json::value& value : resources->get_array()) {
    if (!value.is_object())
      return model::BadField("resources", "a list of objects");
    const json::object& resource = value.get_object();
    BOOST_LEAF_AUTO(kind, model::TextField(resource, "kind"));
    BOOST_LEAF_AUTO(name, model::TextField(resource, "name"));
    BOOST_LEAF_AUTO(revision, model::NumberField(resource, "revision"));
    BOOST_LEAF_AUTO(spec, model::TextField(resource, "spec"));
    BOOST_LEAF_AUTO(operation, model::TextFieldOr(resource, "operation", ""));
    BOOST_LEAF_AUTO(operator_name,
                    model::TextFieldOr(resource, "operator", ""));
    state.m_resources[{kind, name}] = {spec, revision, operation,
                                       operator_name};
  }
  return state;
}

}  // namespace verbenalead::decide
