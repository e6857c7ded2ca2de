#include "decide/load_plan.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// A version is skipped only if all replicas can load the newer one within no
/// less than this: each is out of service for a second, so that in less than
/// two more than half of them would be.
constexpr Duration kLeastWindow = 2s;
/// The first hosts have a version whole after this part of the time that it
/// takes to all.
constexpr double kFirstWhole = 0.85;

}  // namespace

std::optional<LoadPlan> PlanLoad(
    const LoadTimes& times,
    const std::map<uint64_t, DeclaredVersion>& declared,
    uint64_t loaded) {
  const auto oldest = declared.upper_bound(loaded);
  if (oldest == declared.end())
    return std::nullopt;
  TimePoint binds = TimePoint::max();
  for (auto version = oldest; version != declared.end(); ++version)
    binds = std::min(binds, version->second.m_declared + times.m_bound);
  auto chosen = oldest;
  for (auto version = oldest; version != declared.end(); ++version) {
    if (version->second.m_here + kLeastWindow <= binds)
      chosen = version;
  }
  LoadPlan plan;
  plan.m_version = chosen->first;
  plan.m_first = std::max(
      chosen->second.m_here,
      chosen->second.m_declared +
          std::chrono::duration_cast<Duration>(times.m_transfer * kFirstWhole));
  plan.m_last = std::max(plan.m_first, binds);
  return plan;
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
