#include "decide/transfer/version_choice.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace verbenalead::decide {
namespace {

using Versions = std::map<uint64_t, VersionSupply>;

/// An older version whose missing chunks take no longer than this is finished
/// before a newer one is fetched.
constexpr Duration kMaxFinishTime = 500ms;
/// A version is given up only if that saves more than this. Estimates on
/// different hosts differ by the time of a few chunks.
constexpr Duration kMinGain = 300ms;
/// Older versions that are weighed against the newest one. Those before them
/// are given up. The number of plans doubles with each.
constexpr size_t kMaxWeighed = 5;

/// Versions to fetch, and those of them to load.
struct FetchPlan {
  std::set<uint64_t> m_fetched;
  std::set<uint64_t> m_loaded;
};

Duration FetchTime(const VersionSupply& version, const VersionTimes& times) {
  return version.m_missing * times.m_origin_interval;
}

/// When the first version newer than `version`, up to `newest`, becomes
/// binding.
TimePoint NextBinding(const Versions& versions,
                      uint64_t version,
                      uint64_t newest) {
  TimePoint first = TimePoint::max();
  for (auto newer = versions.upper_bound(version);
       newer != versions.end() && newer->first <= newest; ++newer)
    first = std::min(first, newer->second.m_binding_at);
  return first;
}

bool CanBeFetched(const VersionSupply& version) {
  return version.m_has_digests && !version.m_given_up;
}

/// When each loaded version of `plan` is in force.
std::map<uint64_t, TimePoint> LoadEnds(const Versions& versions,
                                       const VersionTimes& times,
                                       const FetchPlan& plan,
                                       TimePoint now) {
  std::map<uint64_t, TimePoint> ends;
  TimePoint origin_free_at = now;
  TimePoint load_end = now;
  for (const uint64_t version : plan.m_fetched) {
    origin_free_at += FetchTime(versions.at(version), times);
    if (!plan.m_loaded.contains(version))
      continue;
    load_end =
        std::max(load_end, origin_free_at + times.m_spread) + times.m_load;
    ends[version] = load_end;
  }
  return ends;
}

/// Time during which the loaded version is older than a binding one.
Duration TimeWithoutWeights(const Versions& versions,
                            const std::map<uint64_t, TimePoint>& ends,
                            TimePoint now) {
  Duration total{};
  TimePoint from = now;
  uint64_t loaded = 0;
  for (const auto& [version, end] : ends) {
    // Until `end`, a version after `loaded` that binds leaves no usable
    // weights.
    const TimePoint binding =
        NextBinding(versions, loaded, ends.rbegin()->first);
    total += std::max(Duration(), Duration(end - std::max(from, binding)));
    from = std::max(from, end);
    loaded = version;
  }
  return total;
}

Duration CostOf(const Versions& versions,
                const VersionTimes& times,
                const FetchPlan& plan,
                TimePoint now) {
  const auto ends = LoadEnds(versions, times, plan, now);
  return TimeWithoutWeights(versions, ends, now) +
         static_cast<int64_t>(ends.size() - 1) * times.m_load_cost;
}

VersionChoice ChoiceOf(const Versions& versions,
                       const std::set<uint64_t>& fetched,
                       const std::set<uint64_t>& too_late) {
  VersionChoice choice;
  choice.m_fetch_order.assign(fetched.begin(), fetched.end());
  for (const auto& [version, supply] : versions) {
    if (!CanBeFetched(supply) || fetched.contains(version))
      continue;
    choice.m_given_up.push_back(
        {version, *fetched.upper_bound(version), supply.m_missing,
         too_late.contains(version) ? GiveUpReason::kTooLate
                                    : GiveUpReason::kCost});
  }
  return choice;
}

}  // namespace

VersionChoice ChooseVersions(const Versions& versions,
                             const VersionTimes& times,
                             bool origin_answers,
                             TimePoint now) {
  const auto newest =
      std::find_if(versions.rbegin(), versions.rend(),
                   [](const auto& each) { return CanBeFetched(each.second); });
  if (newest == versions.rend())
    return {};
  std::vector<uint64_t> weighed;
  std::set<uint64_t> too_late;
  FetchPlan smallest;
  smallest.m_fetched = smallest.m_loaded = {newest->first};
  for (auto it = versions.begin(); it->first != newest->first; ++it) {
    const auto& [version, supply] = *it;
    if (!CanBeFetched(supply))
      continue;
    const Duration fetch_time = FetchTime(supply, times);
    if (now + fetch_time + times.m_spread + times.m_load >=
        NextBinding(versions, version, newest->first)) {
      too_late.insert(version);
      continue;
    }
    weighed.push_back(version);
    if (fetch_time <= kMaxFinishTime)
      smallest.m_fetched.insert(version);
  }
  if (!origin_answers) {
    smallest.m_fetched.insert(weighed.begin(), weighed.end());
    return ChoiceOf(versions, smallest.m_fetched, too_late);
  }
  if (weighed.size() > kMaxWeighed)
    weighed.erase(weighed.begin(), weighed.end() - kMaxWeighed);
  FetchPlan best;
  Duration best_cost = Duration::max();
  for (size_t mask = 0; mask < size_t{1} << weighed.size(); ++mask) {
    FetchPlan plan = smallest;
    for (size_t i = 0; i < weighed.size(); ++i) {
      if (!(mask >> i & 1))
        continue;
      plan.m_fetched.insert(weighed[i]);
      plan.m_loaded.insert(weighed[i]);
    }
    const bool gives_up = std::any_of(
        weighed.begin(), weighed.end(),
        [&](uint64_t each) { return !plan.m_fetched.contains(each); });
    const Duration cost =
        CostOf(versions, times, plan, now) + (gives_up ? kMinGain : Duration());
    if (cost < best_cost) {
      best = std::move(plan);
      best_cost = cost;
    }
  }
  return ChoiceOf(versions, best.m_fetched, too_late);
}

}  // namespace verbenalead::decide
