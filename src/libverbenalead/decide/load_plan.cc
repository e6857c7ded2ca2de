#include "decide/load_plan.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// A version is skipped for a newer one only if all replicas can load that
/// within no less than this: each is out of service for a second, so that in
/// less than two more than half of them would be. For the same reason one that
/// would serve for less than this isn't loaded at all.
constexpr Duration kMinLoadWindow = 2s;
/// The first hosts have a version whole after this part of the time that it
/// takes to all.
constexpr double kFirstCompleteShare = 0.85;

/// Nearly all streams end within the longest drain, half within the shortest.
constexpr Duration kMaxDrainTime = 1500ms;
constexpr Duration kMinDrainTime = 550ms;
/// With so many places taken, those that are left take the calls that replicas
/// turn away while they drain.
constexpr double kMaxFullnessForFullDrain = 0.8;

/// Whether the version at `candidate` would come so late that a newer one bars
/// it soon after.
bool IsUnusableSoon(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    std::map<uint64_t, DeclaredVersion>::const_iterator candidate) {
  return std::any_of(std::next(candidate), declared.end(),
                     [&](const auto& newer) {
                       return newer.second.m_declared + times.m_bound <
                              candidate->second.m_here + kMinLoadWindow;
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
  while (IsUnusableSoon(times, declared, oldest))
    ++oldest;
  TimePoint binding_at = TimePoint::max();
  for (auto version = oldest; version != declared.end(); ++version)
    binding_at =
        std::min(binding_at, version->second.m_declared + times.m_bound);
  auto chosen = oldest;
  for (auto version = oldest; version != declared.end(); ++version) {
    if (version->second.m_here + kMinLoadWindow <= binding_at)
      chosen = version;
  }
  LoadPlan plan;
  plan.m_version = chosen->first;
  plan.m_first = std::max(
      chosen->second.m_here,
      chosen->second.m_declared + std::chrono::duration_cast<Duration>(
                                      times.m_transfer * kFirstCompleteShare));
  plan.m_last = std::max(plan.m_first, binding_at);
  return plan;
}

Duration DrainTime(double fullness) {
  const double spare_share =
      std::clamp((1 - fullness) / (1 - kMaxFullnessForFullDrain), 0.0, 1.0);
  return kMinDrainTime + std::chrono::duration_cast<Duration>(
                             (kMaxDrainTime - kMinDrainTime) * spare_share);
}

TimePoint LoadTurn(const LoadPlan& plan,
                   const std::string& replica,
                   std::vector<std::string> replicas) {
  std::sort(replicas.begin(), replicas.end());
  const auto found = std::find(replicas.begin(), replicas.end(), replica);
  if (found == replicas.end() || replicas.size() < 2)
    return plan.m_first;
  const auto rank = found - replicas.begin();
  const auto last = static_cast<std::ptrdiff_t>(replicas.size()) - 1;
  return plan.m_first + (plan.m_last - plan.m_first) * rank / last;
}

}  // namespace verbenalead::decide
