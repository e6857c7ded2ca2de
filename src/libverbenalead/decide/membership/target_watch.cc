#include "decide/membership/target_watch.h"

#include <algorithm>

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

uint64_t PairHash(const std::string& entry, const std::string& target) {
  return MixHash(target, MixHash(entry, 0));
}

/// Whether fewer than kReportersPerTarget entries rank above this one for
/// `target`.
bool IsReporter(const std::string& self,
                const std::vector<std::string>& entries,
                const std::string& target) {
  const uint64_t own_hash = PairHash(self, target);
  size_t above = 0;
  for (const std::string& entry : entries) {
    if (entry != self && PairHash(entry, target) > own_hash &&
        ++above == kReportersPerTarget)
      return false;
  }
  return true;
}

/// Sorts targets of this entry's region first, then by hash.
void Rank(const TargetWatchState& state, std::vector<RankedTarget>& targets) {
  std::map<std::string, uint64_t> hashes;
  for (const RankedTarget& target : targets)
    hashes[target.m_host.name()] = PairHash(state.m_self, target.m_host.name());
  std::sort(targets.begin(), targets.end(),
            [&](const RankedTarget& a, const RankedTarget& b) {
              const bool same_region_a = a.m_host.region() == state.m_region;
              const bool same_region_b = b.m_host.region() == state.m_region;
              return same_region_a != same_region_b
                         ? same_region_a
                         : hashes[a.m_host.name()] > hashes[b.m_host.name()];
            });
}

}  // namespace

void SetHosts(TargetWatchState& state, const std::vector<model::Host>& hosts) {
  std::vector<std::string> entries;
  for (const model::Host& host : hosts) {
    if (host.role() == model::HostRole::kEntry)
      entries.push_back(host.name());
  }
  state.m_pools.clear();
  std::set<std::string> names;
  for (const model::Host& host : hosts) {
    if (host.role() != model::HostRole::kTarget)
      continue;
    names.insert(host.name());
    state.m_pools[host.pool()].push_back(
        {host, IsReporter(state.m_self, entries, host.name())});
  }
  for (auto& [pool, targets] : state.m_pools)
    Rank(state, targets);
  std::erase_if(state.m_last_seen,
                [&](const auto& item) { return !names.contains(item.first); });
}

void RecordAnswer(TargetWatchState& state,
                  const std::string& name,
                  TimePoint now) {
  state.m_last_seen[name] = now;
}

std::vector<model::Host> TargetsToWatch(TargetWatchState& state,
                                        TimePoint now) {
  const size_t pools = std::max<size_t>(state.m_pools.size(), 1);
  const size_t per_pool =
      std::max(kMinTargetsPerPool, kTargetsPerEntry / pools);
  std::vector<model::Host> watched;
  for (const auto& [pool, targets] : state.m_pools) {
    size_t alive = 0;
    for (const auto& [target, is_reporter] : targets) {
      if (alive >= per_pool && !is_reporter)
        continue;
      watched.push_back(target);
      const TimePoint last_seen =
          state.m_last_seen.try_emplace(target.name(), now).first->second;
      // A silent or leaving target stays watched, in case it returns, but does
      // not count, so that another one is watched in addition.
      if (now - last_seen < kTargetTimeout && !target.leaving())
        ++alive;
    }
  }
  return watched;
}

}  // namespace verbenalead::decide
