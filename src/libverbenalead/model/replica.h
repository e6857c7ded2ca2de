#ifndef VERBENALEAD_MODEL_REPLICA_H_
#define VERBENALEAD_MODEL_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/endpoint.h"

namespace verbenalead::model {

/// One incarnation of a replica, as it says of itself.
struct Replica {
  /// Stays over a restart; `m_started_ms` doesn't.
  std::string m_id;
  /// Unix milliseconds of its start; 0 where it tells none.
  uint64_t m_started_ms = 0;
  /// The store's revision at which it last wrote of itself.
  uint64_t m_revision = 0;
  std::string m_service;
  Endpoint m_endpoint;
  std::string m_data_center;
  uint32_t m_slots = 1;
  /// It is leaving and takes no new work.
  bool m_leaving = false;
  /// Version of the weights by model; a model that isn't loaded is absent.
  std::map<std::string, uint64_t> m_weights;

  friend bool operator==(const Replica&, const Replica&) = default;
};

/// Whether both are the same start of the same replica.
inline bool SameIncarnation(const Replica& a, const Replica& b) {
  return a.m_id == b.m_id && a.m_started_ms == b.m_started_ms &&
         a.m_endpoint == b.m_endpoint;
}

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_REPLICA_H_
