#include "decide/place.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

bool IsUsable(const TargetView& target, TimePoint now) {
  return target.m_report.m_open && !target.m_report.m_leaving &&
         target.m_report.m_capacity > 0 &&
         now - target.m_reported_at <= kReportStale &&
         now >= target.m_shunned_until;
}

/// Share of the target's capacity that is taken. Other entries' attempts are
/// known only from the report, ours at once: the larger of both is nearer the
/// truth than their sum, which would count ours twice.
double LoadOf(const TargetView& target) {
  const uint32_t taken =
      std::max(target.m_in_flight, target.m_report.m_running);
  return static_cast<double>(taken) / target.m_report.m_capacity;
}

}  // namespace

void Report(PlaceState& state,
            const model::TargetReport& report,
            TimePoint now) {
  TargetView& target = state.m_targets[report.m_name];
  if (report.m_incarnation < target.m_report.m_incarnation)
    return;
  const bool same = report.m_incarnation == target.m_report.m_incarnation;
  const bool leaving = same && target.m_report.m_leaving;
  target.m_report = report;
  target.m_report.m_leaving |= leaving;
  target.m_reported_at = now;
  if (!same)
    target.m_shunned_until = {};
}

void RemoveTarget(PlaceState& state, const std::string& name) {
  state.m_targets.erase(name);
}

std::optional<Placement> Place(const PlaceState& state,
                               const model::Call&,
                               const std::set<std::string>& tried,
                               TimePoint now) {
  const TargetView* best = nullptr;
  for (const auto& [name, target] : state.m_targets) {
    if (!IsUsable(target, now) || tried.contains(name))
      continue;
    if (best == nullptr || LoadOf(target) < LoadOf(*best))
      best = &target;
  }
  if (best == nullptr)
    return std::nullopt;
  const model::TargetReport& report = best->m_report;
  return Placement{report.m_name,   report.m_peer,    report.m_incarnation,
                   report.m_digest, report.m_version, "least_loaded"};
}

void AttemptSent(PlaceState& state, const std::string& target) {
  auto found = state.m_targets.find(target);
  if (found != state.m_targets.end())
    ++found->second.m_in_flight;
}

void AttemptEnded(PlaceState& state,
                  const std::string& target,
                  bool broken,
                  TimePoint now) {
  auto found = state.m_targets.find(target);
  if (found == state.m_targets.end())
    return;
  if (found->second.m_in_flight > 0)
    --found->second.m_in_flight;
  if (broken)
    found->second.m_shunned_until = now + kShun;
}

uint32_t UsableCapacity(const PlaceState& state, TimePoint now) {
  uint32_t capacity = 0;
  for (const auto& [name, target] : state.m_targets) {
    if (IsUsable(target, now))
      capacity += target.m_report.m_capacity;
  }
  return capacity;
}

}  // namespace verbenalead::decide
