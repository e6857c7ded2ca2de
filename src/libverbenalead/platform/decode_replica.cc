#include "platform/decode_replica.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "base/catch_failure.h"
#include "platform/json_read.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

boost::leaf::error_id Unreadable(const std::string& step,
                                 const std::string& peer,
                                 const std::string& what) {
  return boost::leaf::new_error(
      Failure{FailureCode::kInvalid, step, peer, what});
}

/// Whether `key` may be the id of a replica, such as "i-7f3a91c2": letters,
/// digits and "-._~" (the unreserved characters of RFC 3986).
///
/// Failure: another writer's row stands in the list of replicas under a name of
/// its own. Symptom: calls go to the address in it, or it hides the replica
/// that has this address. Its name holds other characters.
bool IsReplicaId(const std::string& key) {
  return !key.empty() &&
         std::all_of(key.begin(), key.end(), boost::urls::unreserved_chars);
}

/// Reads the models and the versions of their weights; returns false if the
/// list is malformed.
bool ReadWeights(const json::object& object,
                 std::map<std::string, uint64_t>& weights) {
  const json::value* value = object.if_contains("models");
  if (!value)
    return true;  // Replicas of a service without an engine have no models.
  const json::array* models = value->if_array();
  if (!models)
    return false;
  for (const json::value& item : *models) {
    const json::object* model = item.if_object();
    const auto name = model ? ReadText(*model, "name") : std::nullopt;
    const auto version = model ? ReadCount(*model, "version") : std::nullopt;
    if (!name || !version)
      return false;
    weights[*name] = *version;
  }
  return true;
}

}  // namespace

Result<model::Replica> DecodeReplica(const std::string& id,
                                     std::string_view text) {
  constexpr char kStep[] = "read replica";
  if (!IsReplicaId(id))
    return Unreadable(kStep, id, "the key is no id of a replica");
  const auto object = ReadObject(text);
  if (!object)
    return Unreadable(kStep, id, "the row is no JSON object");
  const auto service = ReadText(*object, "service");
  const auto address = ReadText(*object, "address");
  const auto zone = ReadText(*object, "zone");
  const auto slots = ReadCount(*object, "slots");
  const auto state = ReadText(*object, "state");
  if (!service || service->empty() || !address || !zone || !slots || !state)
    return Unreadable(kStep, id, "a field is missing or has another type");
  if (*state != "ready" && *state != "draining")
    return Unreadable(kStep, id, "the state isn't known: " + *state);
  const json::value* born = object->if_contains("born");
  const auto started = ReadCount(*object, "born");
  if (born && !started)
    return Unreadable(kStep, id, "the time of its start is no whole number");
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(*address));
  model::Replica replica;
  replica.m_id = id;
  replica.m_started_ms = started.value_or(0);
  replica.m_service = *service;
  replica.m_endpoint = endpoint;
  replica.m_data_center = *zone;
  replica.m_slots = static_cast<uint32_t>(*slots);
  replica.m_leaving = *state == "draining";
  replica.m_cold_left = ReadMilliseconds(*object, "cold_left_ms");
  if (!ReadWeights(*object, replica.m_weights))
    return Unreadable(kStep, id, "the models can't be read");
  return replica;
}

Result<model::EngineReport> DecodeReport(std::string_view text) {
  constexpr char kStep[] = "read report";
  const auto object = ReadObject(text);
  if (!object)
    return Unreadable(kStep, "", "the report is no JSON object");
  model::EngineReport report;
  const auto sequence = ReadCount(*object, "sequence");
  const auto busy = ReadFlag(*object, "busy");
  if (!sequence || !busy || !ReadWeights(*object, report.m_weights))
    return Unreadable(kStep, "", "a field is missing or has another type");
  report.m_started_ms = ReadCount(*object, "born").value_or(0);
  report.m_cold_left = ReadMilliseconds(*object, "cold_left_ms");
  report.m_pace = ReadNumber(*object, "pace");
  // Both fields are about load orders, not about requests: `busy` is set while
  // an order is carried out, and `sequence` counts the orders.
  report.m_loading = *busy;
  report.m_orders = *sequence;
  report.m_queued =
      static_cast<uint32_t>(ReadCount(*object, "queued").value_or(0));
  report.m_active =
      static_cast<uint32_t>(ReadCount(*object, "active").value_or(0));
  return report;
}

}  // namespace verbenalead::platform
