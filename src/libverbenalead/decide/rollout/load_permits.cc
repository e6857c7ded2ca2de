#include "decide/rollout/load_permits.h"

#include <boost/json.hpp>

#include "model/json_fields.h"

namespace verbenalead::decide {
namespace {

namespace json = boost::json;

Result<LoadPermit> ReadPermit(const json::object& object) {
  LoadPermit permit;
  BOOST_LEAF_AUTO(digest, model::TextField(object, "digest"));
  BOOST_LEAF_ASSIGN(permit.m_digest, ParseDigest(digest));
  BOOST_LEAF_ASSIGN(permit.m_plan, model::NumberField(object, "plan"));
  BOOST_LEAF_ASSIGN(permit.m_owner, model::NumberField(object, "owner"));
  BOOST_LEAF_ASSIGN(permit.m_number, model::NumberField(object, "number"));
  BOOST_LEAF_ASSIGN(permit.m_failed,
                    model::FlagFieldOr(object, "failed", false));
  BOOST_LEAF_ASSIGN(permit.m_reason, model::TextFieldOr(object, "reason", ""));
  return permit;
}

}  // namespace

std::string ToJson(const LoadPermits& permits) {
  json::object out;
  for (const auto& [host, permit] : permits.m_permits) {
    out[host] = json::object{{"digest", ToString(permit.m_digest)},
                             {"plan", permit.m_plan},
                             {"owner", permit.m_owner},
                             {"number", permit.m_number},
                             {"failed", permit.m_failed},
                             {"reason", permit.m_reason}};
  }
  return json::serialize(out);
}

Result<LoadPermits> ParseLoadPermits(std::string_view text, uint64_t revision) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "permits"));
  LoadPermits permits;
  permits.m_revision = revision;
  for (const auto& item : object) {
    if (!item.value().is_object())
      return model::BadField(item.key(), "a permit");
    BOOST_LEAF_AUTO(permit, ReadPermit(item.value().get_object()));
    permits.m_permits[item.key()] = std::move(permit);
  }
  return permits;
}

}  // namespace verbenalead::decide
