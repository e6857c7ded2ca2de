#include "entry/statements.h"

#include <algorithm>

#include "base/log.h"
#include "base/metric_label.h"
#include "entry/rate_limits.h"

namespace verbenalead::entry {
namespace {

/// Most reports in one datagram.
constexpr size_t kMaxReports = 128;
constexpr char kLimitGauge[] = "replica_rate_limit";

std::string ReplicaLabel(const std::string& id) {
  return MetricLabel("replica", id);
}

/// Adds what `known` has to tell other entries.
void AddReport(std::vector<links::ReplicaStatementReport>& reports,
               const model::Replica& replica,
               const decide::KnownStatements& known,
               bool has_target,
               TimePoint now) {
  links::StatementReport report =
      links::ReportOf(known, replica.m_started_ms, now);
  // A target process tells the entries of the limit itself.
  if (has_target) {
    report.m_rate_limit.reset();
    report.m_cold.reset();
    report.m_started_ms = 0;
  }
  if (report != links::StatementReport() && reports.size() < kMaxReports)
    reports.push_back({replica.m_id, report});
}

/// The stated limit, without the age of the observation; -1: none any more.
std::optional<double> LimitOf(const links::StatementReport& report) {
  if (!report.m_rate_limit)
    return std::nullopt;
  return report.m_rate_limit->m_rate.value_or(-1);
}

/// Whether the report says that the replica is cold; absent: nothing.
std::optional<bool> ColdOf(const links::StatementReport& report) {
  if (!report.m_cold)
    return std::nullopt;
  return report.m_cold->m_left > Duration();
}

}  // namespace

bool IsOfOtherIncarnation(const model::Replica& replica, uint64_t started_ms) {
  return started_ms != 0 && replica.m_started_ms != 0 &&
         started_ms != replica.m_started_ms;
}

void LearnLeaving(EntryState& state,
                  decide::ReplicaState& replica,
                  const std::string& source) {
  if (!decide::NoteLeaving(replica))
    return;
  state.m_metrics.Count("replicas_leaving_learned_total", "");
  LogLine("replica_leaving")
      .With("replica", replica.m_replica.m_id)
      .With("source", source)
      .With("calls", uint64_t{replica.m_in_flight})
      .Info();
}

void LearnRest(EntryState& state,
               decide::ReplicaState& replica,
               Duration rest,
               const std::string& call) {
  const TimePoint now = Now();
  state.m_metrics.Count("rests_asked_total", "");
  if (!decide::NoteRest(replica, rest, now, state.m_random))
    return;
  LogLine("replica_rest")
      .With("replica", replica.m_replica.m_id)
      .With("source", call)
      .With("rest_ms", ToMilliseconds(rest))
      .With("back_ms", ToMilliseconds(replica.m_known.m_rest_until - now))
      .With("calls", uint64_t{replica.m_in_flight})
      .Info();
}

void ApplyStatements(EntryState& state,
                     decide::ReplicaState& replica,
                     const links::StatementReport& report,
                     const std::string& source,
                     TimePoint now) {
  if (IsOfOtherIncarnation(replica.m_replica, report.m_started_ms))
    return;
  if (report.m_cold) {
    decide::MergeCold(replica.m_known.m_cold,
                      links::FromReport(*report.m_cold, now), now);
  }
  if (report.m_rate_limit) {
    LearnRateLimit(state, replica, links::FromReport(*report.m_rate_limit, now),
                   source);
  }
  if (report.m_leaving == replica.m_replica.m_started_ms)
    LearnLeaving(state, replica, source);
}

void ApplyStatementList(EntryState& state,
                        const std::vector<links::ReplicaStatementReport>& list,
                        const std::string& source,
                        TimePoint now) {
  for (const links::ReplicaStatementReport& report : list) {
    decide::ReplicaState* replica = FindReplica(state, report.m_replica);
    if (replica)
      ApplyStatements(state, *replica, report.m_report, source, now);
  }
}

void ApplyHolderClaims(EntryState& state,
                       const std::vector<links::ReplicaStatementReport>& list,
                       const std::string& host,
                       TimePoint now) {
  for (auto& [replica, claims] : state.m_holder_claims) {
    std::erase_if(claims, [now](const auto& claim) {
      return now - claim.second.m_heard_at >= decide::kClaimLifetime;
    });
  }
  std::erase_if(state.m_holder_claims,
                [](const auto& claims) { return claims.second.empty(); });
  for (const links::ReplicaStatementReport& report : list) {
    if (!report.m_holder.empty())
      state.m_holder_claims[report.m_replica][host] = {report.m_holder, now};
  }
}

links::StatementReport StatementsOf(const decide::ReplicaState& replica,
                                    TimePoint now) {
  return links::ReportOf(replica.m_known, replica.m_replica.m_started_ms, now);
}

std::vector<links::ReplicaStatementReport> StatementsToReport(
    const EntryState& state,
    TimePoint now) {
  std::vector<links::ReplicaStatementReport> reports;
  for (const auto& [name, service] : state.m_services) {
    const decide::ReplicaPool& pool = service.m_pool;
    const bool has_targets = HasTargetProcesses(pool);
    for (const auto& [id, replica] : pool.m_replicas) {
      const size_t before = reports.size();
      AddReport(reports, replica.m_replica, replica.m_known, has_targets, now);
      if (reports.size() > before && !has_targets &&
          decide::IsCold(replica.m_known.m_cold, now))
        reports.back().m_holder = TokenHolder(state, replica, now);
    }
    // Its row may still be listed elsewhere.
    for (const auto& [id, replica] : pool.m_unlisted)
      AddReport(reports, replica.m_replica, replica.m_known, true, now);
  }
  return reports;
}

bool StateTheSame(const std::vector<links::ReplicaStatementReport>& a,
                  const std::vector<links::ReplicaStatementReport>& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(),
      [](const links::ReplicaStatementReport& left,
         const links::ReplicaStatementReport& right) {
        return left.m_replica == right.m_replica &&
               left.m_holder == right.m_holder &&
               LimitOf(left.m_report) == LimitOf(right.m_report) &&
               ColdOf(left.m_report) == ColdOf(right.m_report) &&
               left.m_report.m_leaving == right.m_report.m_leaving;
      });
}

void ExportStatements(EntryState& state) {
  std::set<std::string> limited;
  uint64_t leaving = 0;
  uint64_t resting = 0;
  const TimePoint now = Now();
  for (const auto& [name, service] : state.m_services) {
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      leaving += replica.m_known.m_leaving ? 1 : 0;
      resting += replica.m_known.m_rest_until > now ? 1 : 0;
      const auto& rate = replica.m_known.m_rate_limit.m_rate;
      if (!rate)
        continue;
      limited.insert(id);
      state.m_metrics.Set(kLimitGauge, ReplicaLabel(id), *rate);
    }
  }
  for (const std::string& id : state.m_exported_rate_limits) {
    if (!limited.contains(id))
      state.m_metrics.Remove(kLimitGauge, ReplicaLabel(id));
  }
  state.m_exported_rate_limits = std::move(limited);
  state.m_metrics.Set("replicas_leaving", "", static_cast<double>(leaving));
  state.m_metrics.Set("replicas_resting", "", static_cast<double>(resting));
}

}  // namespace verbenalead::entry
