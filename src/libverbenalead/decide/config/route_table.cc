#include "decide/config/route_table.h"

#include <algorithm>
#include <set>

#include "model/rank.h"

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

RouteTable::RankPair RouteTable::RankPairOf(
    const model::Route& route,
    const model::Organisation* organisation) {
  const int rank = organisation
                       ? organisation->m_urgency.value_or(route.m_urgency)
                       : route.m_urgency;
  return {rank, route.m_urgency};
}

void RouteTable::AddRanks(const model::Route& route) {
  std::set<RankPair> ranks;
  // Organisations are known only for calls that need a key.
  if (route.m_anonymous || m_config.m_organisations.empty())
    ranks.insert(RankPairOf(route, nullptr));
  for (const model::Organisation& organisation : m_config.m_organisations) {
    if (!route.m_anonymous)
      ranks.insert(RankPairOf(route, &organisation));
  }
  for (const model::ServiceShare& share : route.m_services) {
    std::vector<RankPair>& all = m_ranks[share.m_service];
    std::set<RankPair> merged = ranks;
    merged.insert(all.begin(), all.end());
    all.assign(merged.begin(), merged.end());
  }
}

size_t RouteTable::CountRanks(const std::string& service) const {
  const auto found = m_ranks.find(service);
  return found == m_ranks.end() ? 0 : found->second.size();
}

std::optional<int> RouteTable::RankOf(
    const std::string& service,
    const model::Route& route,
    const model::Organisation* organisation) const {
  const auto found = m_ranks.find(service);
  if (found == m_ranks.end())
    return std::nullopt;
  const auto& ranks = found->second;
  const auto position = std::lower_bound(ranks.begin(), ranks.end(),
                                         RankPairOf(route, organisation)) -
                        ranks.begin();
  return std::min(static_cast<int>(position), model::kLeastUrgentRank);
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
