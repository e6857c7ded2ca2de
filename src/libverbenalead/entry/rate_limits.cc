#include "entry/rate_limits.h"

#include "base/log.h"
#include "entry/summary.h"

namespace verbenalead::entry {
namespace {

/// Logged in place of the rate where there is no limit.
constexpr double kNoLimit = -1;

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

std::string TokenHolder(const EntryState& state,
                        const decide::ReplicaState& replica,
                        TimePoint now) {
  std::vector<decide::SummaryPeer> entries = ToSummaryPeers(state, now);
  const model::EntryAddress& self = state.m_options.m_own_address;
  entries.push_back({self.m_host, self.m_data_center, true, IsReady(state)});
  return decide::RateHolder(replica.m_replica.m_id,
                            replica.m_replica.m_data_center, entries)
      .value_or("");
}

void LearnRateLimit(EntryState& state,
                    decide::ReplicaState& replica,
                    const decide::RateLimit& limit,
                    const std::string& source) {
  const double before = replica.m_known.m_rate_limit.m_rate.value_or(kNoLimit);
  if (!decide::MergeRateLimit(replica.m_known.m_rate_limit, limit))
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
      .With("rate", replica.m_known.m_rate_limit.m_rate.value_or(kNoLimit))
      .With("cold", decide::IsCold(replica.m_known.m_cold, now))
      .With("hold_ms", ToMilliseconds(hold_off))
      .Info();
}

}  // namespace verbenalead::entry
