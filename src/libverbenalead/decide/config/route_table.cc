#include "decide/config/route_table.h"

#include <algorithm>
#include <set>

namespace verbenalead::decide {

RouteTable::RouteTable(model::RoutingConfig config)
    : m_config(std::move(config)) {
  for (const model::Route& route : m_config.m_routes)
    m_routes[route.m_host].push_back(&route);
  for (auto& [host, routes] : m_routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const model::Route* a, const model::Route* b) {
                       return a->m_path_prefix.size() > b->m_path_prefix.size();
                     });
  }
  for (const model::Organisation& organisation : m_config.m_organisations) {
    for (const std::string& key : organisation.m_keys)
      m_keys[key] = &organisation;
  }
  for (const model::Service& service : m_config.m_services)
    m_services[service.m_name] = &service;
  for (const model::Route& route : m_config.m_routes)
    AddRanks(route);
  std::erase_if(m_ranks,
                [](const auto& each) { return each.second.size() < 2; });
}

void RouteTable::AddRanks(const model::Route& route) {
  std::set<int> ranks;
  // Organisations are known only for calls that need a key.
  if (route.m_anonymous || m_config.m_organisations.empty())
    ranks.insert(route.m_urgency);
  for (const model::Organisation& organisation : m_config.m_organisations) {
    if (!route.m_anonymous)
      ranks.insert(organisation.m_urgency.value_or(route.m_urgency));
  }
  for (const model::ServiceShare& share : route.m_services) {
    std::vector<int>& all = m_ranks[share.m_service];
    ranks.insert(all.begin(), all.end());
    all.assign(ranks.begin(), ranks.end());
  }
}

const std::vector<int>& RouteTable::RanksOf(const std::string& service) const {
  static const std::vector<int> kAllEqual;
  const auto found = m_ranks.find(service);
  return found == m_ranks.end() ? kAllEqual : found->second;
}

const model::Route* RouteTable::FindRoute(const std::string& host,
                                          const std::string& path) const {
  for (const model::Route* route : RoutesOf(host)) {
    if (path.starts_with(route->m_path_prefix))
      return route;
  }
  return nullptr;
}

const std::vector<const model::Route*>& RouteTable::RoutesOf(
    const std::string& host) const {
  static const std::vector<const model::Route*> kNone;
  const auto found = m_routes.find(host);
  return found == m_routes.end() ? kNone : found->second;
}

const model::Organisation* RouteTable::FindOrganisation(
    const std::string& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : found->second;
}

const model::Service* RouteTable::FindService(const std::string& name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

const std::string& SelectService(const model::Route& route,
                                 std::mt19937_64& random) {
  uint64_t total = 0;
  for (const model::ServiceShare& share : route.m_services)
    total += share.m_weight;
  if (total == 0)
    return route.m_services.front().m_service;
  uint64_t remainder =
      std::uniform_int_distribution<uint64_t>(0, total - 1)(random);
  for (const model::ServiceShare& share : route.m_services) {
    if (remainder < share.m_weight)
      return share.m_service;
    remainder -= share.m_weight;
  }
  return route.m_services.back().m_service;
}

}  // namespace verbenalead::decide
