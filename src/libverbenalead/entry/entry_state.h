#ifndef VERBENALEAD_ENTRY_ENTRY_STATE_H_
#define VERBENALEAD_ENTRY_ENTRY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/loop_lag.h"
#include "base/metrics.h"
#include "decide/config_lease.h"
#include "decide/late_calls.h"
#include "decide/patience_share.h"
#include "decide/quarantine.h"
#include "decide/replica_pool.h"
#include "decide/retry_window.h"
#include "decide/route_table.h"
#include "decide/store_clock.h"
#include "decide/weights_watch.h"
#include "entry/entry_options.h"
#include "entry/last_summary.h"
#include "entry/peer_entry.h"
#include "entry/replica_change_log.h"

namespace verbenalead::entry {

/// Here answers are lost for other reasons too, up to a quarter of them at
/// times; three breaks under one request within a minute don't happen by chance
/// then, and the users allow three.
constexpr decide::QuarantineLimits kQuarantine = {3, std::chrono::minutes(1)};

/// What an entry knows of one service.
struct ServiceState {
  decide::ReplicaPool m_pool;
  decide::RetryWindow m_repeats;
  decide::PatienceShare m_patience;
  decide::LateCalls m_late;
};

/// All that an entry believes. Belongs to its one thread: a host of this
/// platform has a quarter of a core, and eight entries used a hundredth each at
/// the peak, so a second thread would only add locks.
struct EntryState {
  explicit EntryState(EntryOptions options) : m_options(std::move(options)) {}

  const EntryOptions m_options;
  Metrics m_metrics;
  LoopLag m_lag;
  std::mt19937_64 m_random{std::random_device{}()};
  /// Null until the first configuration is known.
  std::shared_ptr<const decide::RouteTable> m_routes;
  decide::ConfigLease m_lease;
  decide::StoreClock m_store_clock;
  /// The newest change of the operator's table that is known here, and the
  /// store's time of the newest proof of our own that there was no newer one.
  uint64_t m_operator_revision = 0;
  /// The newest change of declared weights.
  uint64_t m_weights_revision = 0;
  Duration m_operator_proof{};
  /// When the store's last answer about that table came.
  TimePoint m_operator_answered_at{};
  /// The store doesn't answer this entry.
  bool m_store_lost = false;
  /// Stands for the list of replicas.
  uint64_t m_replicas_hash = 0;
  /// By service.
  std::map<std::string, ServiceState> m_services;
  /// By model.
  std::map<std::string, decide::WeightsWatch> m_weights;
  decide::QuarantineState m_crashes{kQuarantine, {}, {}, {}};
  /// Crashes that this entry saw, as long as the others are told of them.
  std::vector<decide::CrashNote> m_own_crashes;
  /// Those that near entries told of, as long as other data centres are told:
  /// by request and replica, when they were first heard of.
  std::map<std::pair<uint64_t, std::string>, TimePoint> m_near_crashes;
  /// Other entries by host.
  std::map<std::string, PeerEntry> m_peers;
  /// By data centre, those of others only.
  std::map<std::string, LastSummary> m_summaries;
  /// Entries of other data centres that the store lists, by this entry's own
  /// reading or a near one's; absent: not known yet.
  std::optional<uint32_t> m_far_entries;
  ReplicaChangeLog m_replica_changes;
  /// When the list of replicas was last known to be true.
  TimePoint m_replicas_at{};
  bool m_replicas_known = false;
  bool m_stopping = false;
  /// Stopping, and what is taken on now might not end in time.
  bool m_takes_calls = true;
};

/// The state of `service`, made where it wasn't known.
ServiceState& StateOf(EntryState& state, const std::string& service);

/// Which weights bind now and how fast engines read prompts, by service;
/// replicas that lapsed long enough ago are dropped. Called often.
void UpdatePools(EntryState& state, TimePoint now);

/// Whether a call with a key may go through now.
bool LeaseHolds(const EntryState& state);

/// Whether callers should use this entry.
bool IsReady(const EntryState& state);

/// Whether the replicas of `service` are engines.
bool IsEngineService(const EntryState& state, const std::string& service);

/// Entries that may exist at most, this one included.
uint32_t EntriesAtMost(const EntryState& state);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_STATE_H_
