#include "entry/startup_progress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/join_names.h"
#include "base/log.h"
#include "entry/entry_state.h"

namespace verbenalead::entry {
namespace {

/// A start takes a second or two. Steps that are not completed after this time
/// are logged, and again at this interval.
constexpr Duration kWaitLineInterval = 5s;

/// Whether each service with engines has a replica that accepts calls.
bool EnginesUsable(const EntryState& state, TimePoint now) {
  if (!state.m_routes)
    return false;
  const auto& services = state.m_routes->config().m_services;
  return std::all_of(
      services.begin(), services.end(), [&](const model::Service& service) {
        const auto known = state.m_services.find(service.m_name);
        return !service.m_engine ||
               (known != state.m_services.end() &&
                decide::HasUsableReplica(known->second.m_pool, now));
      });
}

std::vector<std::pair<std::string, bool>> StepsOf(const EntryState& state,
                                                  TimePoint now) {
  return {{"others", state.m_remote_entries.has_value()},
          {"configuration", state.m_routes != nullptr},
          {"replicas", state.m_replicas_known},
          {"lease", HasValidLease(state)},
          {"usable_replica", EnginesUsable(state, now)}};
}

void LogWaits(const std::vector<std::pair<std::string, bool>>& steps,
              StartupProgress& progress,
              TimePoint now) {
  if (progress.m_next_wait_line == TimePoint())
    progress.m_next_wait_line = progress.m_started + kWaitLineInterval;
  if (now < progress.m_next_wait_line)
    return;
  progress.m_next_wait_line = now + kWaitLineInterval;
  std::vector<std::string> waits;
  for (const auto& [step, done] : steps) {
    if (!done && !progress.m_done.contains(step))
      waits.push_back(step);
  }
  if (waits.empty())
    return;
  LogLine("start_waits")
      .With("steps", JoinNames(waits))
      .With("since_start_ms", ToMilliseconds(now - progress.m_started))
      .Warn();
}

}  // namespace

bool RecordStartupSteps(EntryState& state,
                        StartupProgress& progress,
                        TimePoint now) {
  const auto steps = StepsOf(state, now);
  for (const auto& [step, done] : steps) {
    if (progress.m_done.contains(step))
      continue;
    const std::string label = "step=\"" + step + "\"";
    state.m_metrics.Set("start_waits", label, done ? 0 : 1);
    if (!done)
      continue;
    progress.m_done.insert(step);
    const Duration after = now - progress.m_started;
    state.m_metrics.Set("start_step_seconds", label,
                        std::chrono::duration<double>(after).count());
    LogLine("start_step")
        .With("step", step)
        .With("after_ms", ToMilliseconds(after))
        .Info();
  }
  LogWaits(steps, progress, now);
  return progress.m_done.size() == steps.size();
}

}  // namespace verbenalead::entry
