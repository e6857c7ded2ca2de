#ifndef VERBENALEAD_DECIDE_CONFIG_ROUTE_TABLE_H_
#define VERBENALEAD_DECIDE_CONFIG_ROUTE_TABLE_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/routing_config.h"

namespace verbenalead::decide {

/// One routing configuration, indexed for look-ups by host and path, API key
/// and service name.
class RouteTable {
 public:
  explicit RouteTable(model::RoutingConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const model::RoutingConfig& config() const { return m_config; }

  /// The route of `host` with the longest path prefix that `path` starts with,
  /// or null.
  const model::Route* FindRoute(const std::string& host,
                                const std::string& path) const;
  /// The routes of `host`, the longest path prefix first.
  const std::vector<const model::Route*>& RoutesOf(
      const std::string& host) const;
  /// The organisation that owns the API key `key`, or null.
  const model::Organisation* FindOrganisation(const std::string& key) const;
  /// The service with this name, or null.
  const model::Service* FindService(const std::string& name) const;
  /// Number of different ranks that calls of this service may have; 0 if all
  /// have the same.
  size_t CountRanks(const std::string& service) const;
  /// Position of a call's rank among these, 0 for the most urgent; absent if
  /// all have the same. The organisation's rank decides, and the route's among
  /// calls whose organisations have the same. `organisation` may be null.
  std::optional<int> RankOf(const std::string& service,
                            const model::Route& route,
                            const model::Organisation* organisation) const;

 private:
  /// The rank of the organisation, and that of the route.
  using RankPair = std::pair<int, int>;

  static RankPair RankPairOf(const model::Route& route,
                             const model::Organisation* organisation);
  /// Adds the ranks that calls on `route` may have.
  void AddRanks(const model::Route& route);

  const model::RoutingConfig m_config;
  /// Routes by host, the longest path prefix first.
  std::unordered_map<std::string, std::vector<const model::Route*>> m_routes;
  std::unordered_map<std::string, const model::Organisation*> m_keys;
  std::unordered_map<std::string, const model::Service*> m_services;
  /// By service, the most urgent first.
  std::unordered_map<std::string, std::vector<RankPair>> m_ranks;
};

/// Selects the service for a call on `route` at random, in proportion to the
/// weights of its services.
const std::string& SelectService(const model::Route& route,
                                 std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_ROUTE_TABLE_H_
