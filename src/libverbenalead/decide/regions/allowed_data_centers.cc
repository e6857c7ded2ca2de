#include "decide/regions/allowed_data_centers.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Whether a list of regions, which is empty if it names none, allows `region`.
bool Allows(const std::vector<std::string>& names, const std::string& region) {
  return names.empty() ||
         std::find(names.begin(), names.end(), region) != names.end();
}

/// Restricts `regions` to those that a route or an organisation names, if it
/// names any.
void Restrict(std::optional<std::set<std::string>>& regions,
              const std::vector<std::string>& names) {
  if (names.empty())
    return;
  if (!regions) {
    regions.emplace(names.begin(), names.end());
    return;
  }
  std::erase_if(*regions, [&](const std::string& region) {
    return !Allows(names, region);
  });
}

}  // namespace

std::shared_ptr<const std::set<std::string>> AllowedDataCenters(
    const std::vector<std::string>& route_regions,
    const std::vector<std::string>& organisation_regions,
    const RegionMap& regions) {
  if (route_regions.empty() && organisation_regions.empty())
    return nullptr;
  auto allowed = std::make_shared<std::set<std::string>>();
  for (const auto& [data_center, region] : regions) {
    if (Allows(route_regions, region) && Allows(organisation_regions, region))
      allowed->insert(data_center);
  }
  return allowed;
}

std::optional<std::set<std::string>> RegionsForCallers(
    const RouteTable& routes,
    const std::string& host) {
  std::optional<std::set<std::string>> regions;
  bool has_organisations = false;
  for (const model::Route* route : routes.RoutesOf(host)) {
    Restrict(regions, route->m_regions);
    has_organisations |= !route->m_anonymous;
  }
  if (!has_organisations)
    return regions;
  for (const model::Organisation& organisation :
       routes.config().m_organisations)
    Restrict(regions, organisation.m_regions);
  return regions;
}

std::set<std::string> UnknownRegions(const model::RoutingConfig& config,
                                     const RegionMap& regions) {
  std::set<std::string> unknown;
  for (const model::Route& route : config.m_routes)
    unknown.insert(route.m_regions.begin(), route.m_regions.end());
  for (const model::Organisation& organisation : config.m_organisations)
    unknown.insert(organisation.m_regions.begin(),
                   organisation.m_regions.end());
  for (const auto& [data_center, region] : regions)
    unknown.erase(region);
  return unknown;
}

}  // namespace verbenalead::decide
