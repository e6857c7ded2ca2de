#include "entry/crash_blame.h"

#include <algorithm>
#include <string>

#include "base/log.h"

namespace verbenalead::entry {
namespace {

using Kind = decide::CrashReport::Kind;

/// Reports in one datagram, about 80 bytes each. Blocked parts go first: a few
/// of them stand for all their crashes.
constexpr size_t kMaxReports = 200;

std::string Join(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts)
    joined += (joined.empty() ? "" : ",") + text;
  return joined;
}

bool IsEvidence(const CallAttempt& attempt) {
  // A time-out isn't evidence of a crash, nor are bytes that are no answer, nor
  // a break that this entry caused by cancelling the attempt, nor one by a
  // load.
  if (attempt.IsReplicaLoading())
    return false;
  const auto failure = attempt.result().m_failure;
  return failure != FailureCode::kTimeout && failure != FailureCode::kCorrupt &&
         failure != FailureCode::kCancelled;
}

void ExportBlocked(EntryState& state) {
  state.m_metrics.Set("parts_blocked", "",
                      static_cast<double>(state.m_causes.m_blocked.size()));
  state.m_metrics.Set("parts_suspected", "",
                      static_cast<double>(state.m_causes.m_suspects.size()));
}

/// Sound requests that came down with a replica have no part in it.
void RemoveExplainedCrashes(EntryState& state) {
  for (const auto& [incarnation, at] : state.m_causes.m_explained)
    decide::RemoveCrashesOf(state.m_crashes, incarnation);
}

void LogReport(const decide::CrashReport& report, const std::string& sender) {
  const bool blocked = report.m_kind == Kind::kBlocked;
  LogLine(blocked ? "part_blocked" : "part_cleared")
      .With("part", report.m_part)
      .With("source", sender)
      .Info();
}

}  // namespace

void BlameCrash(EntryState& state,
                CallRecord& record,
                const CallAttempt& attempt) {
  if (!IsEvidence(attempt))
    return;
  record.m_replica_crashed = true;
  const CallPlan& plan = record.m_plan;
  const bool had_head = attempt.result().m_has_head;
  LogLine("crash_seen")
      .With("call", plan.m_call.m_id)
      .With("replica", attempt.incarnation())
      .With("head", had_head)
      .With("events", attempt.has_events())
      .With("parts", Join(plan.m_call.m_shared_parts))
      .Info();
  const TimePoint now = Now();
  state.m_metrics.Count("crashes_seen_total", "");
  // A stream that had begun is weaker evidence against its whole request than
  // against its parts, which many requests share.
  if (!attempt.has_events()) {
    decide::RecordCrash(state.m_crashes, plan.m_fingerprint,
                        attempt.incarnation(), now);
  }
  decide::RecordCrash(state.m_causes, attempt.incarnation(),
                      {plan.m_fingerprint, plan.m_parts, had_head}, now);
  UpdateBlockedParts(state, now);
}

void RecordWholeAnswer(EntryState& state, const CallRecord& record) {
  const TimePoint now = Now();
  decide::RecordSuccess(state.m_crashes, record.m_plan.m_fingerprint, now);
  if (!record.m_replica_crashed)
    decide::RecordAnswer(state.m_causes, record.m_plan.m_parts, now);
}

bool IsBlockedCall(const EntryState& state, const CallPlan& plan) {
  const TimePoint now = Now();
  return decide::IsQuarantined(state.m_crashes, plan.m_fingerprint, now) ||
         decide::FindBlocked(state.m_causes, plan.m_parts, now);
}

std::string CrashReason(const EntryState& state, const CallPlan& plan) {
  const auto part = decide::FindBlocked(state.m_causes, plan.m_parts, Now());
  if (!part)
    return "not run: the request crashes replicas";
  const auto found = std::find(plan.m_parts.begin(), plan.m_parts.end(), *part);
  const auto index = static_cast<size_t>(found - plan.m_parts.begin());
  return "not run: part " + plan.m_call.m_shared_parts[index] +
         " of the prompt crashes replicas";
}

void UpdateBlockedParts(EntryState& state, TimePoint now) {
  const std::vector<decide::BlockedPart> new_ones =
      decide::BlockCauses(state.m_causes, now);
  for (const decide::BlockedPart& blocked : new_ones) {
    LogLine("part_blocked")
        .With("part", blocked.m_part)
        .With("source", "self")
        .With("crashes", static_cast<uint64_t>(blocked.m_incarnations.size()))
        .With("replicas", Join(blocked.m_incarnations))
        .Warn();
    state.m_metrics.Count("parts_blocked_total", "");
  }
  if (!new_ones.empty())
    RemoveExplainedCrashes(state);
  ExportBlocked(state);
}

std::vector<uint64_t> BlockedTickets(const EntryState& state, TimePoint now) {
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, parts] : state.m_waiting_parts) {
    if (decide::FindBlocked(state.m_causes, parts, now))
      tickets.push_back(ticket);
  }
  return tickets;
}

bool CollectCrashReports(EntryState& state, TimePoint now) {
  return AddReports(state.m_own_reports, decide::TakeReports(state.m_causes),
                    now);
}

std::vector<links::AgedCrashReport> CrashReportsToSend(const EntryState& state,
                                                       bool of_data_center,
                                                       TimePoint now) {
  std::vector<decide::CrashReport> reports =
      decide::BlockedReports(state.m_causes);
  const auto add = [&reports](const std::vector<decide::CrashReport>& more) {
    reports.insert(reports.end(), more.begin(), more.end());
  };
  add(ReportsToSend(state.m_own_reports, now));
  if (of_data_center)
    add(ReportsToSend(state.m_local_reports, now));
  reports.resize(std::min(reports.size(), kMaxReports));
  std::vector<links::AgedCrashReport> aged;
  for (decide::CrashReport& report : reports) {
    const Duration age = std::max(Duration(), now - report.m_at);
    report.m_at = TimePoint();
    aged.push_back({std::move(report), age});
  }
  return aged;
}

void ApplyCrashReports(EntryState& state,
                       const std::vector<links::AgedCrashReport>& reports,
                       const std::string& sender,
                       bool local,
                       TimePoint now) {
  if (reports.empty())
    return;
  const size_t explained = state.m_causes.m_explained.size();
  std::vector<decide::CrashReport> dated;
  for (const links::AgedCrashReport& item : reports) {
    decide::CrashReport report = item.m_report;
    report.m_at = now - item.m_age;
    const bool was_blocked = state.m_causes.m_blocked.contains(report.m_part);
    decide::ApplyReport(state.m_causes, report, now);
    if (report.m_kind == Kind::kAlive)
      decide::RemoveCrashesOf(state.m_crashes, report.m_incarnation);
    if (state.m_causes.m_blocked.contains(report.m_part) != was_blocked)
      LogReport(report, sender);
    dated.push_back(std::move(report));
  }
  // Blocked parts are told by everybody who knows of them.
  std::erase_if(dated, [](const decide::CrashReport& report) {
    return report.m_kind == Kind::kBlocked;
  });
  if (state.m_causes.m_explained.size() > explained)
    RemoveExplainedCrashes(state);
  if (local)
    AddReports(state.m_local_reports, dated, now);
  UpdateBlockedParts(state, now);
}

}  // namespace verbenalead::entry
