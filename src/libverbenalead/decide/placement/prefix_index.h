#ifndef VERBENALEAD_DECIDE_PLACEMENT_PREFIX_INDEX_H_
#define VERBENALEAD_DECIDE_PLACEMENT_PREFIX_INDEX_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// A target that probably has a prefix in its cache.
struct PrefixHolder {
  /// Hash of the target's name.
  uint64_t m_target = 0;
  /// Time of the last evidence: a call with the prefix that was sent to the
  /// target, or a cache event of its engine.
  TimePoint m_last_seen{};
};

/// The prompt prefixes that the targets of a pool probably have in their
/// caches.
///
/// Used to send a call to a target that need not compute its prefix again.
/// Cache events of engines arrive late and some are lost, so the eviction of a
/// prefix may never be reported: an entry expires with its age instead of
/// lasting until an eviction event.
struct PrefixIndex {
  std::unordered_map<uint64_t, std::vector<PrefixHolder>> m_holders;
  TimePoint m_expired_at{};
};

/// Lifetime of an entry of the index: under load, an engine replaces the
/// contents of its cache within a few minutes.
constexpr Duration kPrefixLifetime = std::chrono::minutes(2);
/// Maximum number of prefixes in the index: about 5 MB for each pool.
constexpr size_t kMaxPrefixes = 50000;

/// Records that `prefix` was in the cache of `target` at `when`. Evidence older
/// than the recorded one is ignored.
void RecordPrefix(PrefixIndex& index,
                  uint64_t prefix,
                  uint64_t target,
                  TimePoint when);
/// Records that `target` evicted `prefix` at `when`. Ignored if the prefix has
/// been used at the target since then, as the use has cached it again.
void RecordEviction(PrefixIndex& index,
                    uint64_t prefix,
                    uint64_t target,
                    TimePoint when);
/// Removes all entries of `target`, whose cache was lost in a restart.
void RemoveTargetPrefixes(PrefixIndex& index, uint64_t target);
/// The targets that probably have `prefix` in their caches, or nullptr. Expired
/// entries may be among them.
const std::vector<PrefixHolder>* FindHolders(const PrefixIndex& index,
                                             uint64_t prefix);
/// Whether `target` has an unexpired entry in `holders`, which may be nullptr.
bool HasPrefix(const std::vector<PrefixHolder>* holders,
               uint64_t target,
               TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_PREFIX_INDEX_H_
