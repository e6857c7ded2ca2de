#ifndef VERBENALEAD_MODEL_REPLICA_H_
#define VERBENALEAD_MODEL_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "model/revision.h"

namespace verbenalead::model {

/// One incarnation (process start) of a replica, as the replica reports it.
struct Replica {
  /// Unchanged by a restart, unlike `m_started_ms`.
  std::string m_id;
  /// Start time in Unix milliseconds; 0 if the replica does not report one.
  uint64_t m_started_ms = 0;
  /// Store revision of the replica's latest write of its own row.
  Revision m_revision;
  std::string m_service;
  Endpoint m_endpoint;
  std::string m_data_center;
  uint32_t m_slots = 1;
  /// Whether the replica is leaving and accepts no new calls.
  bool m_leaving = false;
  /// How much longer it was cold when it wrote its row; absent if it didn't
  /// say.
  std::optional<Duration> m_cold_left;
  /// Version of the weights by model; models that are not loaded are absent.
  std::map<std::string, uint64_t> m_weights;

  friend bool operator==(const Replica&, const Replica&) = default;
};

/// Whether `a` and `b` describe the same process start of the same replica.
inline bool SameIncarnation(const Replica& a, const Replica& b) {
  return a.m_id == b.m_id && a.m_started_ms == b.m_started_ms &&
         a.m_endpoint == b.m_endpoint;
}

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_REPLICA_H_
