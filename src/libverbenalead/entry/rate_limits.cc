#include "entry/rate_limits.h"

#include <algorithm>

#include "base/log.h"

namespace verbenalead::entry {
namespace {

/// Most reports in one datagram.
constexpr size_t kMaxReports = 128;
/// Logged in place of the rate where there is no limit.
constexpr double kNoLimit = -1;
constexpr char kLimitGauge[] = "replica_rate_limit";

std::string ReplicaLabel(const std::string& id) {
  return "replica=\"" + id + "\"";
}

}  // namespace

decide::ReplicaState* FindReplica(EntryState& state, const std::string& id) {
  for (auto& [name, service] : state.m_services) {
    const auto found = service.m_pool.m_replicas.find(id);
    if (found != service.m_pool.m_replicas.end())
      return &found->second;
  }
  return nullptr;
}

bool HasTargetProcesses(const decide::ReplicaPool& pool) {
  return pool.m_prefill_rate > 0;
}

void LearnRateLimit(EntryState& state,
                    decide::ReplicaState& replica,
                    const decide::RateLimit& limit,
                    const std::string& source) {
  const double before = replica.m_rate_limit.m_rate.value_or(kNoLimit);
  if (!decide::MergeRateLimit(replica.m_rate_limit, limit))
    return;
  // The hold-off was worked out for the old rate.
  replica.m_rate_held_until = TimePoint();
  state.m_metrics.Count("rate_limit_changes_total", "");
  LogLine("rate_limit")
      .With("replica", replica.m_replica.m_id)
      .With("source", source)
      .With("rate", limit.m_rate.value_or(kNoLimit))
      .With("before", before)
      .With("age_ms", ToMilliseconds(Now() - limit.m_observed_at))
      .Info();
}

void ApplyRateLimits(EntryState& state,
                     const std::vector<links::ReplicaRateLimit>& limits,
                     const std::string& source,
                     TimePoint now) {
  for (const links::ReplicaRateLimit& limit : limits) {
    decide::ReplicaState* replica = FindReplica(state, limit.m_replica);
    if (replica)
      LearnRateLimit(state, *replica, links::FromReport(limit.m_report, now),
                     source);
  }
}

std::vector<links::ReplicaRateLimit> RateLimitsToReport(const EntryState& state,
                                                        TimePoint now) {
  std::vector<links::ReplicaRateLimit> limits;
  for (const auto& [name, service] : state.m_services) {
    if (HasTargetProcesses(service.m_pool))
      continue;
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      const auto report = links::ReportOf(replica.m_rate_limit, now);
      if (report && limits.size() < kMaxReports)
        limits.push_back({id, *report});
    }
  }
  return limits;
}

bool NameSameLimits(const std::vector<links::ReplicaRateLimit>& a,
                    const std::vector<links::ReplicaRateLimit>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const links::ReplicaRateLimit& left,
                       const links::ReplicaRateLimit& right) {
                      return left.m_replica == right.m_replica &&
                             left.m_report.m_rate == right.m_report.m_rate;
                    });
}

void HoldBackReplica(EntryState& state,
                     decide::ReplicaState& replica,
                     const std::string& by,
                     Duration hold_off) {
  const TimePoint now = Now();
  const bool was_held_back = replica.m_rate_held_until > now;
  decide::HoldBack(replica, hold_off, now);
  state.m_metrics.Count("rate_limit_denials_total", "");
  if (was_held_back)
    return;
  LogLine("rate_limit_denied")
      .With("replica", replica.m_replica.m_id)
      .With("by", by)
      .With("rate", replica.m_rate_limit.m_rate.value_or(kNoLimit))
      .With("hold_ms", ToMilliseconds(hold_off))
      .Info();
}

void ExportRateLimits(EntryState& state) {
  std::set<std::string> limited;
  for (const auto& [name, service] : state.m_services) {
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      if (!replica.m_rate_limit.m_rate)
        continue;
      limited.insert(id);
      state.m_metrics.Set(kLimitGauge, ReplicaLabel(id),
                          *replica.m_rate_limit.m_rate);
    }
  }
  for (const std::string& id : state.m_exported_rate_limits) {
    if (!limited.contains(id))
      state.m_metrics.Remove(kLimitGauge, ReplicaLabel(id));
  }
  state.m_exported_rate_limits = std::move(limited);
}

}  // namespace verbenalead::entry
