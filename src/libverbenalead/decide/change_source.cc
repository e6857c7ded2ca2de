#include "decide/change_source.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Entries tell once a second, far ones every other second. After this time
/// without a word none of them is there.
constexpr Duration kSilence = 5s;
/// A near entry that told so lately, three times, will tell of this change too.
constexpr Duration kNearSilence = 3s;
/// After a start the entries are asked first. They know the tables after 0.3 s,
/// after 1.5 s where all of them have started too.
constexpr Duration kLeastPatience = 2500ms;
constexpr Duration kMostPatience = 5s;
/// Entries that still know nothing so long after this host's start may have
/// lost the store, which this host may reach.
constexpr Duration kLongestAwaited = 10s;

bool IsRecent(TimePoint at, Duration age, TimePoint now) {
  return at != TimePoint() && now - at < age;
}

}  // namespace

bool TakeTold(ChangeWatch& watch, bool near, uint64_t revision, TimePoint now) {
  watch.m_told_at = now;
  if (near)
    watch.m_told_near_at = now;
  if (watch.m_known && revision <= watch.m_weights_revision)
    return false;
  return near || !IsRecent(watch.m_told_near_at, kNearSilence, now);
}

bool LeavesStoreAlone(const ChangeWatch& watch, double spread, TimePoint now) {
  if (IsRecent(watch.m_told_at, kSilence, now) && watch.m_known)
    return true;
  const auto patience =
      kLeastPatience + std::chrono::duration_cast<Duration>(
                           (kMostPatience - kLeastPatience) * spread);
  const TimePoint awaited = std::min<TimePoint>(
      watch.m_awaited_at, watch.m_started + kLongestAwaited);
  return now - std::max({watch.m_started, watch.m_told_at, awaited}) < patience;
}

}  // namespace verbenalead::decide
