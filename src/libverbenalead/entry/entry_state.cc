#include "entry/entry_state.h"

#include <algorithm>

#include "base/boot_clock.h"
#include "base/log.h"
#include "base/metric_label.h"
#include "entry/cold_replicas.h"

namespace verbenalead::entry {
namespace {

/// The lease lasts for this part of the bound on removed keys. The rest covers
/// clock drift. The lease is counted from a time that is no later than the
/// store's answer.
constexpr double kLeaseShare = 0.9;
/// Time from the selection of a replica until the call starts there. A call
/// that was assigned to a replica with older weights within this time before
/// those weights are barred would be cancelled and would need a retry.
constexpr Duration kStartDelay = 400ms;
/// Allowance for entries that have started but are not known yet, while hosts
/// are replaced or added.
constexpr uint32_t kUnknownEntries = 3;
/// Assumed number of entries until the others are known. Failure: all entries
/// restart while replicas are gone. Symptom: each earns the share of the retry
/// slack that eight entries have, and a hundred entries retry ten times as
/// often as permitted. With a share for this many entries, retries are limited
/// for a second or two to the ratio alone, which does not depend on the other
/// entries.
constexpr uint32_t kAssumedEntries = 2000;

/// A version has become mandatory. Logs how many replicas have older weights
/// and take no calls until they have loaded it.
void LogBinding(EntryState& state,
                const std::string& model,
                uint64_t version,
                const decide::ReplicaPool& pool) {
  const auto barred =
      std::count_if(pool.m_replicas.begin(), pool.m_replicas.end(),
                    [version](const auto& replica) {
                      return replica.second.m_weights < version;
                    });
  state.m_metrics.Set("weights_binding_version", MetricLabel("model", model),
                      static_cast<double>(version));
  LogLine("weights_binding")
      .With("model", model)
      .With("version", version)
      .With("before", pool.m_required_weights)
      .With("replicas_barred", static_cast<uint64_t>(barred))
      .With("replicas", static_cast<uint64_t>(pool.m_replicas.size()))
      .Info();
}

}  // namespace

ServiceState& GetOrCreateService(EntryState& state,
                                 const std::string& service) {
  const auto [entry, is_new] = state.m_services.try_emplace(service);
  ServiceState& found = entry->second;
  if (is_new)
    found.m_pool.m_evacuated_data_centers = state.m_evacuated_data_centers;
  found.m_retries.m_started_at = state.m_started_at;
  found.m_pool.m_by_speed = state.m_options.m_by_speed;
  found.m_pool.m_data_center = state.m_options.m_own_address.m_data_center;
  return found;
}

void UpdatePools(EntryState& state, TimePoint now) {
  for (auto& [name, service] : state.m_services)
    decide::RemoveExpiredReplicas(service.m_pool, now);
  if (!state.m_routes)
    return;
  for (const model::Service& service : state.m_routes->config().m_services) {
    if (service.m_cold_rate != 0 || service.m_cold_start != Duration() ||
        state.m_services.contains(service.m_name)) {
      ApplyColdConfig(state, service,
                      GetOrCreateService(state, service.m_name).m_pool);
    }
    if (!service.m_engine)
      continue;
    // At least 1: a replica without any weights takes no calls, even if no
    // weights were declared.
    const uint64_t binding = decide::Binding(
        state.m_weights[service.m_engine->m_model], now + kStartDelay);
    decide::ReplicaPool& pool =
        GetOrCreateService(state, service.m_name).m_pool;
    if (binding > pool.m_required_weights)
      LogBinding(state, service.m_engine->m_model, binding, pool);
    pool.m_required_weights = std::max<uint64_t>(1, binding);
    pool.m_prefill_rate = service.m_engine->m_prefill_rate;
  }
}

bool HasValidLease(const EntryState& state) {
  if (!state.m_options.m_strict_keys)
    return true;
  const auto length = std::chrono::duration_cast<Duration>(
      state.m_options.m_key_bound * kLeaseShare);
  const auto proved_at = state.m_lease.m_proved_at;
  return proved_at && !decide::IsFromGap(state.m_store_era, *proved_at) &&
         decide::IsLeaseValid(state.m_lease, length, BootNow());
}

bool IsReady(const EntryState& state) {
  return state.m_routes && state.m_replicas_known && !state.m_stopping &&
         HasValidLease(state);
}

bool IsEngineService(const EntryState& state, const std::string& service) {
  const model::Service* found =
      state.m_routes ? state.m_routes->FindService(service) : nullptr;
  return found && found->m_engine;
}

uint64_t ConfigVersion(const EntryState& state) {
  return state.m_routes ? state.m_routes->config().m_version : 0;
}

uint32_t MaxExistingEntries(const EntryState& state) {
  if (!state.m_remote_entries)
    return kAssumedEntries;
  uint32_t local = 1;
  uint32_t remote = 0;
  for (const auto& [host, peer] : state.m_peers) {
    const bool is_local = peer.m_address.m_data_center ==
                          state.m_options.m_own_address.m_data_center;
    ++(is_local ? local : remote);
  }
  return local + std::max(remote, *state.m_remote_entries) + kUnknownEntries;
}

}  // namespace verbenalead::entry
