#include "decide/rollout/load_plan.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// A version is skipped for a newer one only if all replicas can load the newer
/// one within a window of at least this length. Each replica is out of service
/// for a second, so that within less than two seconds more than half of them
/// would be out at once. For the same reason, a version that would serve for
/// less than this is not loaded at all.
constexpr Duration kMinLoadWindow = 2s;
/// Share of the transfer time to all hosts after which the first hosts have the
/// complete version.
constexpr double kFirstCompleteShare = 0.85;

/// Whether the version at `candidate` would arrive too late to be loaded: a
/// newer one becomes binding within kMinLoadWindow after its arrival.
bool IsUnusableSoon(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    std::map<uint64_t, DeclaredVersion>::const_iterator candidate) {
  return std::any_of(std::next(candidate), declared.end(),
                     [&](const auto& newer) {
                       return newer.second.m_declared + times.m_bound <
                              candidate->second.m_complete_at + kMinLoadWindow;
                     });
}

}  // namespace

std::optional<LoadPlan> PlanLoad(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    uint64_t loaded) {
  auto oldest = declared.upper_bound(loaded);
  if (oldest == declared.end())
    return std::nullopt;
  while (std::next(oldest) != declared.end() &&
         (oldest->second.m_given_up || IsUnusableSoon(times, declared, oldest)))
    ++oldest;
  TimePoint binding_at = TimePoint::max();
  for (auto version = declared.upper_bound(loaded); version != declared.end();
       ++version) {
    if (version->first >= oldest->first || version->second.m_given_up)
      binding_at =
          std::min(binding_at, version->second.m_declared + times.m_bound);
  }
  auto chosen = oldest;
  for (auto version = oldest; version != declared.end(); ++version) {
    if (!version->second.m_given_up &&
        version->second.m_complete_at + kMinLoadWindow <= binding_at)
      chosen = version;
  }
  LoadPlan plan;
  plan.m_version = chosen->first;
  plan.m_first_load_at = std::max(
      chosen->second.m_complete_at,
      chosen->second.m_declared + std::chrono::duration_cast<Duration>(
                                      times.m_transfer * kFirstCompleteShare));
  plan.m_last_load_at = std::max(plan.m_first_load_at, binding_at);
  return plan;
}

}  // namespace verbenalead::decide
