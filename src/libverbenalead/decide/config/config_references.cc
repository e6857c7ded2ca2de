#include "decide/config/config_references.h"

#include <boost/json.hpp>

#include "model/json_fields.h"

namespace verbenalead::decide {
namespace {

/// Field `m_field` of a spec of kind `m_from` names a resource of kind `m_to`.
struct Reference {
  const char* m_from;
  const char* m_field;
  const char* m_to;
};

constexpr Reference kReferences[] = {
    {"version", "model", "model"},  {"adapter", "model", "model"},
    {"pool", "version", "version"}, {"route", "pool", "pool"},
    {"service", "pool", "pool"},
};

Result<std::string> ReferencedName(const std::string& spec, const char* field) {
  BOOST_LEAF_AUTO(object, model::ParseObject(spec, "spec"));
  return model::TextFieldOr(object, field, "");
}

boost::leaf::error_id InvalidWrite(const model::ResourceKey& key,
                                   const std::string& reason) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, "write " + ToString(key), "", reason});
}

Result<void> CheckReferenceIsDeclared(const ConfigState& state,
                                      const model::ResourceWrite& write,
                                      const Reference& reference) {
  BOOST_LEAF_AUTO(name, ReferencedName(write.m_spec, reference.m_field));
  const model::ResourceKey referenced{reference.m_to, name};
  if (name.empty() || state.m_resources.contains(referenced))
    return {};
  return InvalidWrite(write.m_key, std::string("spec.") + reference.m_field +
                                       " names " + ToString(referenced) +
                                       ", which is not declared");
}

Result<void> CheckIsUnreferenced(const ConfigState& state,
                                 const model::ResourceWrite& write,
                                 const Reference& reference) {
  for (const auto& [key, resource] : state.m_resources) {
    if (key.m_kind != reference.m_from)
      continue;
    BOOST_LEAF_AUTO(name, ReferencedName(resource.m_spec, reference.m_field));
    if (name == write.m_key.m_name)
      return InvalidWrite(write.m_key,
                          "spec." + std::string(reference.m_field) + " of " +
                              ToString(key) + " names it");
  }
  return {};
}

}  // namespace

Result<void> CheckReferences(const ConfigState& state,
                             const model::ResourceWrite& write) {
  for (const Reference& reference : kReferences) {
    if (!write.m_deleted && write.m_key.m_kind == reference.m_from)
      BOOST_LEAF_CHECK(CheckReferenceIsDeclared(state, write, reference));
    if (write.m_deleted && write.m_key.m_kind == reference.m_to)
      BOOST_LEAF_CHECK(CheckIsUnreferenced(state, write, reference));
  }
  return {};
}

}  // namespace verbenalead::decide
