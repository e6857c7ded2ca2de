#ifndef VERBENALEAD_DECIDE_STORE_COLD_START_H_
#define VERBENALEAD_DECIDE_STORE_COLD_START_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Decides when an entry that has just started reads the store's tables itself.
///
/// Load: all processes of three data centres start at once: 45 entries and 127
/// targets, a configuration of 390 KB, and links of 32 Mbit/s to the store.
/// Harm: when each process read the store, the links were saturated,
/// connections timed out and were retried, and after 18 s one process in three
/// still had no configuration; 2 of 100 calls were served.
///
/// From the rows that entries have written to the store, each entry learns the
/// other entries of its data centre and its own rank among them. The entry of
/// rank 0 reads the tables, and the others fetch them from any entry that has
/// them. If none has them, the entries read the store one after the other, by
/// rank.
struct ColdStart {
  TimePoint m_started{};
  /// When the other entries became known, and how many of the same data centre
  /// rank before this one.
  std::optional<TimePoint> m_rank_known_at;
  size_t m_rank = 0;
};

/// Time to learn of the other entries, which takes one small response of the
/// store. An entry that does not know them by then reads without waiting for
/// them.
constexpr Duration kDiscoveryTimeout = 600ms;
/// Delay per entry that ranks before this one: the time to read 390 KB, 0.1 s
/// over an idle link, and to announce it with the next update, another 0.1 s.
constexpr Duration kReadStagger = 300ms;
/// Longest delay, since all entries that rank before this one may have been
/// removed for good.
constexpr Duration kMaxStartupReadDelay = 1500ms;

/// Records that the other entries are known and that `rank` of those in this
/// data centre rank before this one. Only the first call has an effect.
inline void RecordRank(ColdStart& start, size_t rank, TimePoint now) {
  if (start.m_rank_known_at)
    return;
  start.m_rank_known_at = now;
  start.m_rank = rank;
}

inline bool MayReadStore(const ColdStart& start, TimePoint now) {
  if (!start.m_rank_known_at)
    return now - start.m_started >= kDiscoveryTimeout;
  const Duration wait = std::min<Duration>(
      kMaxStartupReadDelay, kReadStagger * static_cast<int64_t>(start.m_rank));
  return now - *start.m_rank_known_at >= wait;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_COLD_START_H_
