#ifndef VERBENALEAD_TARGET_TARGET_STATE_H_
#define VERBENALEAD_TARGET_TARGET_STATE_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/boot_clock.h"
#include "base/metrics.h"
#include "decide/limits/cold_state.h"
#include "decide/transfer/copy_time.h"
#include "model/replica.h"
#include "model/routing_config.h"
#include "target/chunk_cache.h"
#include "target/target_options.h"

namespace verbenalead::target {

/// The state of a target process. Only its one thread may access it.
struct TargetState {
  explicit TargetState(TargetOptions options) : m_options(std::move(options)) {}

  const TargetOptions m_options;
  /// Clock that also counts while the host is suspended.
  std::function<Duration()> m_boot_now = BootNow;
  Metrics m_metrics;
  std::mt19937_64 m_random{std::random_device{}()};
  uint64_t m_config_version = 0;
  /// Engine profile of the service on this host; absent if the configuration is
  /// not known yet or the service has no engine.
  std::optional<model::EngineProfile> m_engine;
  /// What the configuration and the settings say of cold replicas.
  decide::ColdLimits m_cold_limits;
  /// Start of the engine as it reports it, in Unix milliseconds; 0 if it didn't
  /// answer or tell.
  uint64_t m_engine_started_ms = 0;
  /// How many times slower than usual the engine works, as it reported last;
  /// known only with m_options.m_by_speed.
  double m_engine_pace = 1;
  /// How long the engine is cold, as it reported last.
  std::optional<decide::ColdState> m_engine_cold;
  /// Names of the services of the configuration; empty: it isn't known.
  std::set<std::string> m_services;
  Endpoint m_origin;
  uint64_t m_origin_rate = 0;
  /// The origin is unavailable; known only if
  /// PreparesForOutages().
  bool m_origin_unavailable = false;
  /// Data centres that the operator has evacuated, as last stated by an entry
  /// of this data centre.
  std::set<std::string> m_evacuated_data_centers;
  /// When each version was declared, as estimated on this host.
  std::map<uint64_t, TimePoint> m_declared;
  /// The versions whose times of declaration an entry has stated as known.
  std::set<uint64_t> m_known_dates;
  /// Replicas that the store lists, by id, without malformed rows.
  std::map<std::string, model::Replica> m_listed;
  /// Rows of the list that can't be read and have been logged, with their
  /// revisions.
  std::map<std::string, model::Revision> m_bad_replica_rows;
  /// `m_listed` without outdated rows, whose address another replica has taken
  /// over (`decide::LiveReplicas`).
  std::map<std::string, model::Replica> m_replicas;
  ChunkCache m_cache;
};

/// The newest declared version, or version 1 if none was declared.
inline uint64_t NewestVersion(const TargetState& state) {
  return state.m_declared.empty() ? 1 : state.m_declared.rbegin()->first;
}

/// Whether this host prepares for outages of the origin: the settings ask for
/// it, and the origin needs long enough for a copy of the weights.
inline bool PreparesForOutages(const TargetState& state) {
  return state.m_options.m_origin_outages && state.m_engine &&
         decide::IsOriginScarce(
             decide::CopyTime(*state.m_engine, state.m_origin_rate),
             state.m_options.m_weights_bound, state.m_options.m_min_copy_share);
}

/// The replica on this host as listed in the store; null if it is not listed.
const model::Replica* OwnReplica(const TargetState& state);

}  // namespace verbenalead::target

#endif  // VERBENALEAD_TARGET_TARGET_STATE_H_
