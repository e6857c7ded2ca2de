#ifndef VERBENALEAD_MODEL_ROUTING_CONFIG_H_
#define VERBENALEAD_MODEL_ROUTING_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/organisation.h"
#include "model/route.h"
#include "model/service.h"

namespace verbenalead::model {

/// One version of the operator's complete routing configuration.
struct RoutingConfig {
  /// Increases with each change, but not always by 1.
  uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<Organisation> m_organisations;
  /// Ranks that aren't whole numbers from 0 to kLeastUrgentRank, with the route
  /// or organisation; the nearest allowed rank is used.
  std::vector<std::string> m_clamped_ranks;
  uint32_t m_max_header_bytes = 16 * 1024;
  uint64_t m_max_body_bytes = 4 * 1024 * 1024;
  /// How long a caller may take to send a request header, and how long its
  /// connection may stay idle.
  Duration m_header_timeout = 10s;
  Duration m_idle_timeout = 60s;

  friend bool operator==(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_ROUTING_CONFIG_H_
