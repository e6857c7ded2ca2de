#ifndef VERBENALEAD_DECIDE_COLD_START_H_
#define VERBENALEAD_DECIDE_COLD_START_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// When an entry that has just started reads the store's tables by itself.
///
/// Load: all processes of three data centres start at once, 45 entries and 127
/// targets, with a configuration of 390 KB and links of 32 Mbit/s to the store.
/// Harm: when each read for itself, the links were full, connections timed out
/// and were tried again, and after 18 s one process in three still knew no
/// configuration; 2 of 100 calls were served.
///
/// The rows that entries have left in the store tell each of them who is near
/// and comes first. The first reads; the others take over from whoever has the
/// tables, and read in their turn if nobody has.
struct ColdStart {
  TimePoint m_started{};
  /// Since when the others are known, and how many near ones come before.
  std::optional<TimePoint> m_known_at;
  size_t m_before = 0;
};

/// Time to learn of the others: one small answer of the store. Who hasn't
/// learned of them by then doesn't wait for them either.
constexpr Duration kLearnOthers = 600ms;
/// Time for one that comes first to read 390 KB and to tell of it: 0.1 s over
/// an idle link, and 0.1 s until its next news.
constexpr Duration kColdStep = 300ms;
/// Those that come first may all be gone for good; nobody waits longer for
/// them.
constexpr Duration kColdLongest = 1500ms;

/// The others are known; `before` of the near ones come first.
inline void NoteOthers(ColdStart& start, size_t rank, TimePoint now) {
  if (start.m_known_at)
    return;
  start.m_known_at = now;
  start.m_before = rank;
}

inline bool MayRead(const ColdStart& start, TimePoint now) {
  if (!start.m_known_at)
    return now - start.m_started >= kLearnOthers;
  const Duration wait = std::min<Duration>(
      kColdLongest, kColdStep * static_cast<int64_t>(start.m_before));
  return now - *start.m_known_at >= wait;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_COLD_START_H_
