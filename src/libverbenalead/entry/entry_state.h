#ifndef VERBENALEAD_ENTRY_ENTRY_STATE_H_
#define VERBENALEAD_ENTRY_ENTRY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "base/loop_lag.h"
#include "base/metrics.h"
#include "decide/admission/late_call_shedding.h"
#include "decide/admission/organisation_use.h"
#include "decide/admission/overload_estimate.h"
#include "decide/admission/wait_share.h"
#include "decide/attempts/retry_window.h"
#include "decide/config/route_table.h"
#include "decide/health/crash_causes.h"
#include "decide/health/quarantine.h"
#include "decide/limits/rate_holder.h"
#include "decide/placement/replica_pool.h"
#include "decide/regions/evacuations.h"
#include "decide/rollout/declared_versions.h"
#include "decide/store/config_lease.h"
#include "decide/store/store_clock.h"
#include "decide/store/store_era.h"
#include "entry/crash_report_log.h"
#include "entry/entry_options.h"
#include "entry/last_summary.h"
#include "entry/peer_entry.h"
#include "entry/replica_change_log.h"
#include "entry/unstarted_calls.h"
#include "model/revision.h"

namespace verbenalead::entry {

/// Limits of the quarantine for requests that crash replicas. On this platform
/// up to a quarter of the responses are lost for other reasons at times, so one
/// broken connection proves nothing. Three under the same request within a
/// minute do not happen by chance even then, and the users permit that many.
constexpr decide::QuarantineLimits kQuarantine = {3, std::chrono::minutes(1)};

/// State of one service as seen by one entry.
struct ServiceState {
  decide::ReplicaPool m_pool;
  decide::RetryWindow m_retries;
  decide::WaitShare m_wait_share;
  decide::LateCallShedding m_late_shedding;
  decide::OverloadEstimate m_overload;
  /// Empty where organisations have no shares.
  decide::OrganisationUse m_use;
};

/// The complete state of an entry. Only the single thread of the entry accesses
/// it: a host of this platform has a quarter of a core, and eight entries used
/// a hundredth of a core each at peak load, so a second thread would only add
/// locks.
struct EntryState {
  explicit EntryState(EntryOptions options) : m_options(std::move(options)) {}

  const EntryOptions m_options;
  /// Start of this process.
  TimePoint m_started_at = Now();
  Metrics m_metrics;
  LoopLag m_lag;
  std::mt19937_64 m_random{std::random_device{}()};
  /// Null until the first configuration is known.
  std::shared_ptr<const decide::RouteTable> m_routes;
  decide::ConfigLease m_lease;
  decide::StoreEra m_store_era;
  decide::StoreClock m_store_clock;
  /// Newest known revision of the operator's table, which holds the
  /// configuration, the declared weights and the evacuations.
  model::Revision m_operator_revision;
  decide::Evacuations m_evacuations;
  /// The evacuated data centres that the settings know.
  std::set<std::string> m_evacuated_data_centers;
  /// Number of changes of m_evacuated_data_centers.
  uint64_t m_evacuation_changes = 0;
  /// Newest known revision of declared weights.
  model::Revision m_weights_revision;
  /// Store time at which the store itself last confirmed to this entry that
  /// there was no newer revision of the operator's table.
  model::StoreTime m_operator_confirmed_at;
  /// The newest such confirmation of any entry, for rows that this entry has.
  model::StoreTime m_newest_proof;
  /// Local time of the store's last answer about the operator's table.
  TimePoint m_operator_answered_at{};
  /// The store answered this entry before but does not answer now.
  bool m_store_unavailable = false;
  /// Hash of the list of replicas.
  uint64_t m_replicas_hash = 0;
  /// Bytes of answers that are held, see AnswerBuffer.
  size_t m_held_answer_bytes = 0;
  /// By service.
  std::map<std::string, ServiceState> m_services;
  /// By model.
  std::map<std::string, decide::DeclaredVersions> m_weights;
  /// Number of changes of m_weights.
  uint64_t m_declaration_changes = 0;
  decide::QuarantineState m_crashes{kQuarantine, {}, {}, {}};
  /// Parts of prompts that crash replicas.
  decide::CrashCauses m_causes;
  /// Reports about them of this entry, and of the other entries of this data
  /// centre, while they are sent.
  CrashReportLog m_own_reports;
  CrashReportLog m_local_reports;
  /// Parts of the prompts of calls that wait for a slot, by the call's ticket.
  std::map<uint64_t, std::vector<uint64_t>> m_waiting_parts;
  /// Calls with a model that were sent and haven't begun, by ticket.
  std::map<uint64_t, UnstartedCall> m_unstarted_calls;
  /// Crashes observed by this entry, kept while they are sent to other entries.
  std::vector<decide::CrashRecord> m_own_crashes;
  /// Crashes reported by entries of this data centre, kept while they are sent
  /// to other data centres: when each was first reported, by request and
  /// replica.
  std::map<std::pair<uint64_t, std::string>, TimePoint> m_local_crashes;
  /// Other entries by host.
  std::map<std::string, PeerEntry> m_peers;
  /// By data centre, other data centres only.
  std::map<std::string, LastSummary> m_summaries;
  /// Number of entries of other data centres that the store lists, as read by
  /// this entry or reported by one of its data centre; absent: not known yet.
  std::optional<uint32_t> m_remote_entries;
  ReplicaChangeLog m_replica_changes;
  /// Names of the unknown header fields of replicas' answers that were logged.
  std::set<std::string> m_logged_answer_fields;
  /// Whom other entries of this data centre take for the holder of the token
  /// bucket of each cold replica: by replica and host.
  std::map<std::string, std::map<std::string, decide::HolderClaim>>
      m_holder_claims;
  /// Cold times and rates that can't be used and were logged.
  std::set<std::string> m_logged_cold_values;
  /// Replicas whose rate limits are exported as gauges.
  std::set<std::string> m_exported_rate_limits;
  /// When the list of replicas was last known to be current.
  TimePoint m_replicas_confirmed_at{};
  bool m_replicas_known = false;
  bool m_stopping = false;
  /// False while stopping, once a newly accepted call might not finish before
  /// the process has to exit.
  bool m_accepts_calls = true;
};

/// Returns the state of `service`, created if missing.
ServiceState& GetOrCreateService(EntryState& state, const std::string& service);

/// Updates the pools of all services: which weights calls must run on, how fast
/// engines read prompts, and the removal of replicas whose rows expired long
/// enough ago. Called several times a second.
void UpdatePools(EntryState& state, TimePoint now);

/// Whether the lease permits calls with a key now.
bool HasValidLease(const EntryState& state);

/// Whether callers should use this entry.
bool IsReady(const EntryState& state);

/// Whether the replicas of `service` are engines.
bool IsEngineService(const EntryState& state, const std::string& service);

/// Version of the configuration that is in force; 0: none is.
uint64_t ConfigVersion(const EntryState& state);

/// Upper bound of the number of existing entries, this one included.
uint32_t MaxExistingEntries(const EntryState& state);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ENTRY_STATE_H_
