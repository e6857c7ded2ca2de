#include "model/change.h"

#include <algorithm>
#include <boost/json.hpp>

#include "base/digest.h"
#include "model/json_fields.h"

namespace verbenalead::model {

namespace json = boost::json;

const std::vector<std::string>& ResourceKinds() {
  static const std::vector<std::string> kKinds = {
      "model", "version", "adapter", "pool", "route", "limits", "service"};
  return kKinds;
}

std::string ToJson(const Change& change) {
  return json::serialize(json::object{{"revision", change.m_revision},
                                      {"kind", change.m_key.m_kind},
                                      {"name", change.m_key.m_name},
                                      {"deleted", change.m_deleted},
                                      {"spec", change.m_spec},
                                      {"operation", change.m_operation},
                                      {"operator", change.m_operator}});
}

Result<Change> ParseChange(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text, "change"));
  Change change;
  BOOST_LEAF_ASSIGN(change.m_revision, NumberField(object, "revision"));
  BOOST_LEAF_ASSIGN(change.m_key.m_kind, TextField(object, "kind"));
  BOOST_LEAF_ASSIGN(change.m_key.m_name, TextField(object, "name"));
  BOOST_LEAF_ASSIGN(change.m_deleted, FlagFieldOr(object, "deleted", false));
  BOOST_LEAF_ASSIGN(change.m_spec, TextFieldOr(object, "spec", "{}"));
  BOOST_LEAF_ASSIGN(change.m_operation, TextFieldOr(object, "operation", ""));
  BOOST_LEAF_ASSIGN(change.m_operator, TextFieldOr(object, "operator", ""));
  return change;
}

namespace {

Result<void> CheckVersion(const json::object& spec) {
  BOOST_LEAF_CHECK(TextField(spec, "model"));
  BOOST_LEAF_CHECK(TextField(spec, "weights"));
  BOOST_LEAF_CHECK(TextField(spec, "manifest"));
  BOOST_LEAF_AUTO(manifest_digest, TextField(spec, "manifest_digest"));
  BOOST_LEAF_CHECK(ParseDigest(manifest_digest));
  BOOST_LEAF_AUTO(digest, TextField(spec, "digest"));
  BOOST_LEAF_CHECK(ParseDigest(digest));
  return {};
}

Result<void> CheckRollout(const json::object& spec) {
  const json::value* rollout = spec.if_contains("rollout");
  if (rollout == nullptr)
    return {};
  if (!rollout->is_object())
    return BadField("rollout", "an object");
  const json::object& object = rollout->get_object();
  BOOST_LEAF_AUTO(percent,
                  NumberFieldOr(object, "max_unavailable_percent", 25));
  // At 100 per cent a faulty version could make the whole pool unavailable at
  // once.
  if (percent < 1 || percent > 99) {
    return BadField("rollout.max_unavailable_percent",
                    "a whole number from 1 to 99");
  }
  BOOST_LEAF_CHECK(FlagFieldOr(object, "paused", false));
  return {};
}

Result<void> CheckPool(const json::object& spec) {
  BOOST_LEAF_AUTO(version, TextFieldOr(spec, "version", ""));
  BOOST_LEAF_AUTO(service, TextFieldOr(spec, "service", ""));
  if (version.empty() == service.empty())
    return BadField("version", "set, or else 'service', and not both");
  return CheckRollout(spec);
}

Result<void> CheckLimits(const json::object& spec) {
  BOOST_LEAF_AUTO(weight, NumberFieldOr(spec, "weight", 1));
  if (weight < 1 || weight > 1000)
    return BadField("weight", "a whole number from 1 to 1000");
  BOOST_LEAF_CHECK(NumberFieldOr(spec, "max_queued", 0));
  return {};
}

}  // namespace

Result<void> CheckSpec(const ResourceKey& key, std::string_view text) {
  const auto& kinds = ResourceKinds();
  if (std::find(kinds.begin(), kinds.end(), key.m_kind) == kinds.end())
    return BadField("kind",
                    "one of model, version, adapter, pool, route, "
                    "limits, service");
  constexpr std::string_view kNameCharacters =
      "abcdefghijklmnopqrstuvwxyz0123456789-._";
  if (key.m_name.empty() || key.m_name.size() > 128 ||
      key.m_name.find_first_not_of(kNameCharacters) != std::string::npos)
    return BadField("name", "1 to 128 of a-z, 0-9, '-', '.' and '_'");
  BOOST_LEAF_AUTO(spec, ParseObject(text, "spec"));
  if (key.m_kind == "version" || key.m_kind == "adapter")
    return CheckVersion(spec);
  if (key.m_kind == "pool")
    return CheckPool(spec);
  if (key.m_kind == "limits")
    return CheckLimits(spec);
  if (key.m_kind == "route" || key.m_kind == "service")
    BOOST_LEAF_CHECK(TextField(spec, "pool"));
  return {};
}

}  // namespace verbenalead::model
