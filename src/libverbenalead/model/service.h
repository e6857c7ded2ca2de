#ifndef VERBENALEAD_MODEL_SERVICE_H_
#define VERBENALEAD_MODEL_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "model/engine_profile.h"

namespace verbenalead::model {

/// A set of replicas that are alike, or the origin of weights.
struct Service {
  std::string m_name;
  uint32_t m_max_connections = 0;
  /// Absent: a plain service.
  std::optional<EngineProfile> m_engine;
  /// Where the weights come from; empty: this service has replicas.
  Endpoint m_origin;
  /// Bytes a second of the origin's link.
  uint64_t m_origin_rate = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_SERVICE_H_
