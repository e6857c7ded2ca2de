#include "standins/platform_replica/replica.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

namespace verbenalead::standins {
namespace {

namespace json = boost::json;

uint64_t UnixMilliseconds() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

json::array Models(const Replica& replica) {
  json::array models;
  if (replica.m_version > 0) {
    models.push_back(json::object{{"name", replica.m_model},
                                  {"version", replica.m_version},
                                  {"adapters", json::array()}});
  }
  return models;
}

Endpoint AnnouncedAddress(const Settings& settings) {
  return settings.Text("announce").empty() ? settings.Address("listen")
                                           : settings.Address("announce");
}

}  // namespace

Replica::Replica(const Settings& settings)
    : m_id(settings.Text("id")),
      m_service(settings.Text("service")),
      m_model(settings.Text("model")),
      m_data_center(settings.Text("data_center")),
      m_announced_address(AnnouncedAddress(settings)),
      m_store(settings.Address("store")),
      m_slots(static_cast<uint32_t>(settings.Integer("slots"))),
      m_event_interval(settings.Milliseconds("event")),
      m_pace_percent(settings.Integer("pace")),
      m_prefill_duration(settings.Milliseconds("prefill")),
      m_crash_part(settings.Text("crash_part")),
      m_call_duration(settings.Milliseconds("work")),
      m_load_duration(settings.Milliseconds("load")),
      m_started_ms(UnixMilliseconds()),
      m_rate_limit(settings.Text("rate_limit")),
      m_cold_until(Now() + settings.Milliseconds("cold")),
      m_cold_calls(static_cast<uint32_t>(settings.Integer("cold_calls"))) {}

Duration ColdLeft(const Replica& replica) {
  return std::max(Duration(), replica.m_cold_until - Now());
}

std::string EncodeRow(const Replica& replica) {
  json::object row = {{"service", replica.m_service},
                      {"address", ToString(replica.m_announced_address)},
                      {"zone", replica.m_data_center},
                      {"version", "v1"},
                      {"slots", replica.m_slots},
                      {"state", replica.m_leaving ? "draining" : "ready"},
                      {"cold_left_ms", ToMilliseconds(ColdLeft(replica))},
                      {"born", replica.m_started_ms},
                      {"sequence", replica.m_accepted_orders}};
  if (!replica.m_model.empty())
    row["models"] = Models(replica);
  return json::serialize(row);
}

std::string EncodeReport(const Replica& replica) {
  json::object report = {{"stage", "both"},
                         {"models", Models(replica)},
                         {"busy", replica.m_loading},
                         {"sequence", replica.m_accepted_orders},
                         {"queued", 0},
                         {"active", replica.m_active},
                         {"born", replica.m_started_ms}};
  if (replica.m_pace_percent > 0)
    report["pace"] = static_cast<double>(replica.m_pace_percent) / 100;
  return json::serialize(report);
}

}  // namespace verbenalead::standins
