#include "entry/cold_replicas.h"

#include "base/log.h"
#include "entry/rate_limits.h"
#include "links/cold_log.h"

namespace verbenalead::entry {
namespace {

/// Limit of the values that LogOnce() logs and remembers.
constexpr size_t kMaxLoggedValues = 64;

/// Whether a value that can't be used is to be logged: it is new, and not too
/// many others were logged.
bool IsNewValue(EntryState& state, const std::string& value) {
  std::set<std::string>& logged = state.m_logged_cold_values;
  return logged.size() < kMaxLoggedValues && logged.insert(value).second;
}

/// Whether the row of the replica names a cold time that can't be used.
bool HasBadRow(const decide::ReplicaState& replica) {
  const auto& left = replica.m_replica.m_cold_left;
  return left && !decide::IsValidColdTime(*left);
}

void LogBadTime(EntryState& state,
                const std::string& replica,
                Duration left,
                const std::string& source) {
  if (IsNewValue(state, replica + std::to_string(left.count())))
    links::LogBadColdTime(replica, left, source);
}

}  // namespace

void ApplyColdConfig(EntryState& state,
                     const model::Service& service,
                     decide::ReplicaPool& pool) {
  const bool rate_valid = decide::IsValidColdRate(service.m_cold_rate);
  const bool start_valid = decide::IsValidColdTime(service.m_cold_start);
  const bool is_set =
      service.m_cold_start != Duration() || service.m_cold_rate != 0;
  if (is_set && (!rate_valid || !start_valid) &&
      IsNewValue(state, service.m_name + std::to_string(service.m_cold_rate) +
                            "/" + std::to_string(service.m_cold_start.count())))
    links::LogBadColdService(service);
  decide::SetColdLimits(
      pool,
      {rate_valid ? service.m_cold_rate : 0, state.m_options.m_cold_overrun,
       state.m_options.m_cold_slack},
      rate_valid && start_valid ? service.m_cold_start : Duration(), Now());
}

void LearnColdAnswer(EntryState& state,
                     const decide::ReplicaPool& pool,
                     decide::ReplicaState& replica,
                     Duration left,
                     const std::string& call) {
  if (pool.m_cold_limits.m_rate <= 0)
    return;
  if (!decide::IsValidColdTime(left)) {
    LogBadTime(state, replica.m_replica.m_id, left, call);
    return;
  }
  const TimePoint now = Now();
  decide::MergeCold(replica.m_known.m_cold, decide::ColdByAnswer(left, now),
                    now);
}

void ReportColdReplicas(
    EntryState& state,
    const std::function<void(const decide::ReplicaState&)>& on_change,
    TimePoint now) {
  uint64_t count = 0;
  for (auto& [name, service] : state.m_services) {
    decide::ReplicaPool& pool = service.m_pool;
    if (pool.m_cold_limits.m_rate <= 0)
      continue;
    for (auto& [id, replica] : pool.m_replicas) {
      if (HasBadRow(replica))
        LogBadTime(state, id, *replica.m_replica.m_cold_left, "row");
      count += decide::IsCold(replica.m_known.m_cold, now) ? 1 : 0;
      if (!links::LogColdChange(id, replica.m_known.m_cold,
                                replica.m_cold_logged_until, now))
        continue;
      state.m_metrics.Count("replica_cold_changes_total", "");
      if (HasTargetProcesses(pool))
        on_change(replica);
    }
  }
  state.m_metrics.Set("replicas_cold", "", static_cast<double>(count));
}

}  // namespace verbenalead::entry
