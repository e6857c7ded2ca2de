#include "platform/decode_config.h"

#include <algorithm>
#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/rank.h"
#include "platform/json_read.h"

namespace verbenalead::platform {
namespace {

namespace json = boost::json;

constexpr double kBitsPerByte = 8;
constexpr double kMega = 1e6;

boost::leaf::error_id Unreadable(const std::string& what) {
  return boost::leaf::new_error(Failure{FailureCode::kInvalid,
                                        "read configuration", "",
                                        what + " can't be read"});
}

model::CallKind KindFrom(const std::string& kind) {
  if (kind == "safe")
    return model::CallKind::kIdempotent;
  if (kind == "streaming")
    return model::CallKind::kStream;
  // Calls of an unknown kind are never retried, since a second run may do harm.
  return model::CallKind::kAtMostOnce;
}

std::vector<model::ServiceShare> SharesFrom(const json::object& object) {
  std::vector<model::ServiceShare> shares;
  if (const json::array* split = ReadList(object, "split")) {
    for (const json::value& part : *split) {
      const json::object* share = part.if_object();
      const auto service = share ? ReadText(*share, "service") : std::nullopt;
      if (service) {
        shares.push_back(
            {*service,
             static_cast<uint32_t>(ReadCount(*share, "weight").value_or(1))});
      }
    }
  }
  if (shares.empty()) {
    if (const auto service = ReadText(object, "service"))
      shares.push_back({*service, 1});
  }
  return shares;
}

/// The rank that `object` states, clamped to the allowed ones; nothing if it
/// states none.
std::optional<int> RankFrom(const json::object& object) {
  const auto priority = ReadNumber(object, "priority");
  if (!priority)
    return std::nullopt;
  return static_cast<int>(
      std::clamp<double>(*priority, 0, model::kLeastUrgentRank));
}

/// Adds the members of the list `name` whose ranks aren't used as stated.
void FindClampedRanks(const json::object& object,
                      const char* name,
                      std::vector<std::string>& found) {
  const json::array* list = ReadList(object, name);
  if (!list)
    return;
  for (const json::value& item : *list) {
    const json::object* member = item.if_object();
    const auto stated = member ? ReadNumber(*member, "priority") : std::nullopt;
    if (stated && *stated != *RankFrom(*member))
      found.push_back(std::string(name) + " " +
                      ReadText(*member, "name").value_or("") + ": " +
                      json::serialize(json::value(*stated)));
  }
}

/// The regions that `object` restricts calls to; empty if it names none.
std::vector<std::string> RegionsFrom(const json::object& object) {
  std::vector<std::string> regions;
  if (const json::array* list = ReadList(object, "regions_allowed")) {
    for (const json::value& region : *list) {
      if (region.is_string())
        regions.emplace_back(region.as_string());
    }
  }
  return regions;
}

std::optional<model::Route> RouteFrom(const json::value& value) {
  const json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  const auto host = ReadText(*object, "host");
  const auto prefix = ReadText(*object, "prefix");
  model::Route route;
  route.m_services = SharesFrom(*object);
  if (!host || !prefix || route.m_services.empty())
    return std::nullopt;
  route.m_name = ReadText(*object, "name").value_or("");
  route.m_host = *host;
  route.m_path_prefix = *prefix;
  route.m_kind = KindFrom(ReadText(*object, "route_kind").value_or(""));
  route.m_timeout =
      ReadMilliseconds(*object, "timeout_ms").value_or(Duration());
  route.m_objective = ReadMilliseconds(*object, "slo_ms").value_or(Duration());
  route.m_urgency = RankFrom(*object).value_or(0);
  route.m_max_attempts =
      static_cast<uint32_t>(ReadCount(*object, "max_attempts").value_or(1));
  route.m_anonymous = ReadFlag(*object, "anonymous").value_or(false);
  route.m_resumable = ReadFlag(*object, "resumable").value_or(false);
  route.m_regions = RegionsFrom(*object);
  return route;
}

std::optional<model::EngineProfile> EngineFrom(const json::object& service) {
  const json::value* value = service.if_contains("engine");
  const json::object* engine = value ? value->if_object() : nullptr;
  if (!engine)
    return std::nullopt;
  model::EngineProfile profile;
  profile.m_slots =
      static_cast<uint32_t>(ReadCount(*engine, "slots").value_or(1));
  // `read_per_s` is in prompt tokens per second.
  profile.m_prefill_rate = ReadNumber(*engine, "read_per_s").value_or(0);
  profile.m_step = ReadMilliseconds(*engine, "step_ms").value_or(Duration());
  profile.m_stride =
      static_cast<uint32_t>(ReadCount(*engine, "stride").value_or(1));
  profile.m_chunks =
      static_cast<uint32_t>(ReadCount(*engine, "chunks").value_or(0));
  profile.m_chunk_bytes = ReadCount(*engine, "chunk_bytes").value_or(0);
  const json::array* models = ReadList(*engine, "models");
  const json::object* first =
      models && !models->empty() ? models->front().if_object() : nullptr;
  if (first) {
    profile.m_model = ReadText(*first, "name").value_or("");
    // `warm_s` is the duration of a load from staged weights. The field
    // `load_s` beside it is for loads without staging, which deployments of
    // this platform don't use.
    profile.m_load =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            ReadNumber(*first, "warm_s").value_or(0)));
  }
  return profile;
}

std::optional<model::Service> ServiceFrom(const json::value& value) {
  const json::object* object = value.if_object();
  const auto name = object ? ReadText(*object, "name") : std::nullopt;
  if (!name)
    return std::nullopt;
  model::Service service;
  service.m_name = *name;
  service.m_max_connections =
      static_cast<uint32_t>(ReadCount(*object, "max_conns").value_or(0));
  service.m_engine = EngineFrom(*object);
  // A time beyond a century would overflow the conversion; it can't be used
  // either way.
  constexpr double kLargestSeconds = 4e9;
  service.m_cold_start =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          std::clamp(ReadNumber(*object, "cold_start_s").value_or(0),
                     -kLargestSeconds, kLargestSeconds)));
  service.m_cold_rate = ReadNumber(*object, "cold_per_s").value_or(0);
  if (const auto origin = ReadText(*object, "origin")) {
    if (auto endpoint = CatchFailure([&] { return ParseEndpoint(*origin); }))
      service.m_origin = *endpoint;
    service.m_origin_rate = static_cast<uint64_t>(
        ReadNumber(*object, "link_mbps").value_or(0) * kMega / kBitsPerByte);
  }
  return service;
}

std::optional<model::Organisation> OrganisationFrom(const json::value& value) {
  const json::object* object = value.if_object();
  const auto name = object ? ReadText(*object, "name") : std::nullopt;
  if (!name)
    return std::nullopt;
  model::Organisation organisation;
  organisation.m_name = *name;
  if (const json::array* keys = ReadList(*object, "api_keys")) {
    for (const json::value& key : *keys) {
      if (key.is_string())
        organisation.m_keys.emplace_back(key.as_string());
    }
  }
  organisation.m_urgency = RankFrom(*object);
  organisation.m_regions = RegionsFrom(*object);
  return organisation;
}

void ReadLimits(const json::object& object, model::RoutingConfig& config) {
  const json::value* value = object.if_contains("limits");
  const json::object* limits = value ? value->if_object() : nullptr;
  if (!limits)
    return;
  if (const auto bytes = ReadCount(*limits, "max_header_bytes"))
    config.m_max_header_bytes = static_cast<uint32_t>(*bytes);
  if (const auto bytes = ReadCount(*limits, "max_body_bytes"))
    config.m_max_body_bytes = *bytes;
  if (const auto time = ReadMilliseconds(*limits, "header_timeout_ms"))
    config.m_header_timeout = *time;
  if (const auto time = ReadMilliseconds(*limits, "idle_timeout_ms"))
    config.m_idle_timeout = *time;
}

/// Decodes each member of the list `name`. Fails if any of them can't be read;
/// a missing list counts as empty.
template <typename T, typename Decode>
Result<std::vector<T>> DecodeList(const json::object& object,
                                  const char* name,
                                  Decode decode) {
  std::vector<T> values;
  const json::array* list = ReadList(object, name);
  if (!list)
    return values;
  for (const json::value& item : *list) {
    std::optional<T> value = decode(item);
    if (!value)
      return Unreadable(std::string("a member of ") + name);
    values.push_back(std::move(*value));
  }
  return values;
}

}  // namespace

Result<model::RoutingConfig> DecodeConfig(std::string_view text) {
  const auto object = ReadObject(text);
  if (!object)
    return Unreadable("the document");
  const auto version = ReadCount(*object, "version");
  if (!version)
    return Unreadable("version");
  model::RoutingConfig config;
  config.m_version = *version;
  BOOST_LEAF_ASSIGN(config.m_routes,
                    DecodeList<model::Route>(*object, "routes", RouteFrom));
  BOOST_LEAF_ASSIGN(config.m_services, DecodeList<model::Service>(
                                           *object, "services", ServiceFrom));
  BOOST_LEAF_ASSIGN(
      config.m_organisations,
      DecodeList<model::Organisation>(*object, "tenants", OrganisationFrom));
  FindClampedRanks(*object, "routes", config.m_clamped_ranks);
  FindClampedRanks(*object, "tenants", config.m_clamped_ranks);
  ReadLimits(*object, config);
  return config;
}

}  // namespace verbenalead::platform
