#ifndef VERBENALEAD_TARGET_TARGET_STATE_H_
#define VERBENALEAD_TARGET_TARGET_STATE_H_

#include <map>
#include <optional>
#include <random>
#include <string>

#include "base/metrics.h"
#include "model/replica.h"
#include "model/routing_config.h"
#include "target/chunk_cache.h"
#include "target/target_options.h"

namespace verbenalead::target {

/// All that a target process believes. Belongs to its one thread.
struct TargetState {
  explicit TargetState(TargetOptions options) : m_options(std::move(options)) {}

  const TargetOptions m_options;
  Metrics m_metrics;
  std::mt19937_64 m_random{std::random_device{}()};
  uint64_t m_config_version = 0;
  /// Of the service on this host; absent: nothing is known yet.
  std::optional<model::EngineProfile> m_engine;
  Endpoint m_origin;
  uint64_t m_origin_rate = 0;
  /// When we saw each version to be declared.
  std::map<uint64_t, TimePoint> m_declared;
  /// Replicas that the store lists, by id, malformed rows left out.
  std::map<std::string, model::Replica> m_listed;
  /// Those of them that live.
  std::map<std::string, model::Replica> m_replicas;
  ChunkCache m_cache;
};

/// The newest version that was declared, or the first one while none was.
inline uint64_t NewestVersion(const TargetState& state) {
  return state.m_declared.empty() ? 1 : state.m_declared.rbegin()->first;
}

/// The replica on this host as the store lists it, or null.
const model::Replica* OwnReplica(const TargetState& state);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_STATE_H_
