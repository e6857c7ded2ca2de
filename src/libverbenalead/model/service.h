#ifndef VERBENALEAD_MODEL_SERVICE_H_
#define VERBENALEAD_MODEL_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "model/engine_profile.h"

namespace verbenalead::model {

/// A set of interchangeable replicas, or the origin of weights.
struct Service {
  std::string m_name;
  uint32_t m_max_connections = 0;
  /// Absent for a service that does not run a model.
  std::optional<EngineProfile> m_engine;
  /// Address of the origin of weights; empty if this service has replicas.
  Endpoint m_origin;
  /// Capacity of the origin's link in bytes per second.
  uint64_t m_origin_rate = 0;
  /// How long a replica is cold after it has started during traffic, and the
  /// calls per second that it bears while it is cold; 0: its replicas are never
  /// cold.
  Duration m_cold_start{};
  double m_cold_rate = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_SERVICE_H_
