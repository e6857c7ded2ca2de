#include "decide/placement/prefix_index.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

void EvictExpired(PrefixIndex& index, TimePoint now) {
  const bool full = index.m_holders.size() >= kMaxPrefixes;
  if (!full && now - index.m_expired_at < kPrefixLifetime)
    return;
  index.m_expired_at = now;
  for (auto entry = index.m_holders.begin(); entry != index.m_holders.end();) {
    std::erase_if(entry->second, [&](const PrefixHolder& holder) {
      return now - holder.m_last_seen > kPrefixLifetime;
    });
    entry =
        entry->second.empty() ? index.m_holders.erase(entry) : std::next(entry);
  }
  // No entry has expired, so the full index is cleared. Placement then uses the
  // rendezvous hash alone until later calls and events fill the index again.
  if (index.m_holders.size() >= kMaxPrefixes)
    index.m_holders.clear();
}

}  // namespace

void RecordPrefix(PrefixIndex& index,
                  uint64_t prefix,
                  uint64_t target,
                  TimePoint when) {
  EvictExpired(index, when);
  std::vector<PrefixHolder>& holders = index.m_holders[prefix];
  for (PrefixHolder& holder : holders) {
    if (holder.m_target == target) {
      holder.m_last_seen = std::max(holder.m_last_seen, when);
      return;
    }
  }
  holders.push_back({target, when});
}

void RecordEviction(PrefixIndex& index,
                    uint64_t prefix,
                    uint64_t target,
                    TimePoint when) {
  auto found = index.m_holders.find(prefix);
  if (found == index.m_holders.end())
    return;
  std::erase_if(found->second, [&](const PrefixHolder& holder) {
    return holder.m_target == target && holder.m_last_seen <= when;
  });
}

void RemoveTargetPrefixes(PrefixIndex& index, uint64_t target) {
  for (auto& [prefix, holders] : index.m_holders) {
    std::erase_if(holders, [&](const PrefixHolder& holder) {
      return holder.m_target == target;
    });
  }
}

const std::vector<PrefixHolder>* FindHolders(const PrefixIndex& index,
                                             uint64_t prefix) {
  auto found = index.m_holders.find(prefix);
  return found == index.m_holders.end() ? nullptr : &found->second;
}

bool HasPrefix(const std::vector<PrefixHolder>* holders,
               uint64_t target,
               TimePoint now) {
  if (holders == nullptr)
    return false;
  return std::any_of(holders->begin(), holders->end(),
                     [&](const PrefixHolder& holder) {
                       return holder.m_target == target &&
                              now - holder.m_last_seen <= kPrefixLifetime;
                     });
}

}  // namespace verbenalead::decide
