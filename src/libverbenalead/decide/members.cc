#include "decide/members.h"

#include <algorithm>

#include "decide/rendezvous.h"

namespace verbenalead::decide {
namespace {

uint64_t PairHash(const std::string& entry, const std::string& target) {
  return MixHash(target, MixHash(entry, 0));
}

/// The targets of each pool, best first for this entry.
std::map<std::string, std::vector<const model::Host*>> RankedByPool(
    const MembersState& state) {
  std::map<std::string, std::vector<const model::Host*>> pools;
  std::map<const model::Host*, uint64_t> hashes;
  for (const model::Host& target : state.m_targets) {
    pools[target.pool()].push_back(&target);
    hashes[&target] = PairHash(state.m_self, target.name());
  }
  for (auto& [pool, targets] : pools) {
    std::sort(targets.begin(), targets.end(),
              [&](const model::Host* a, const model::Host* b) {
                const bool near_a = a->region() == state.m_region;
                const bool near_b = b->region() == state.m_region;
                return near_a != near_b ? near_a : hashes[a] > hashes[b];
              });
  }
  return pools;
}

/// Whether fewer than kReporters entries rank above this one for `target`.
bool ReportsHere(const MembersState& state, const std::string& target) {
  const uint64_t ours = PairHash(state.m_self, target);
  size_t above = 0;
  for (const std::string& entry : state.m_entries) {
    if (entry != state.m_self && PairHash(entry, target) > ours &&
        ++above == kReporters)
      return false;
  }
  return true;
}

}  // namespace

void SetHosts(MembersState& state, const std::vector<model::Host>& hosts) {
  state.m_targets.clear();
  state.m_entries.clear();
  std::set<std::string> names;
  for (const model::Host& host : hosts) {
    if (host.role() == model::HostRole::kEntry) {
      state.m_entries.push_back(host.name());
    } else {
      state.m_targets.push_back(host);
      names.insert(host.name());
    }
  }
  std::erase_if(state.m_heard,
                [&](const auto& item) { return !names.contains(item.first); });
}

void Heard(MembersState& state, const std::string& name, TimePoint now) {
  state.m_heard[name] = now;
}

std::vector<model::Host> Watched(MembersState& state, TimePoint now) {
  const auto pools = RankedByPool(state);
  const size_t per_pool = std::max(
      kLeastPerPool, kWatchedPerEntry / std::max<size_t>(pools.size(), 1));
  std::vector<model::Host> watched;
  for (const auto& [pool, targets] : pools) {
    size_t alive = 0;
    for (const model::Host* target : targets) {
      const bool wanted = alive < per_pool;
      if (!wanted && !ReportsHere(state, target->name()))
        continue;
      watched.push_back(*target);
      const TimePoint heard =
          state.m_heard.try_emplace(target->name(), now).first->second;
      // A silent or leaving one stays watched, in case it comes back, but
      // another takes its place in the count.
      if (now - heard < kSilentAfter && !target->leaving())
        ++alive;
    }
  }
  return watched;
}

}  // namespace verbenalead::decide
