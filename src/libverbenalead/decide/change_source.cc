#include "decide/change_source.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Entries tell once a second, far ones every other second. After this time
/// without a word none of them is there.
constexpr Duration kAnnouncementTimeout = 5s;
/// A near entry that told so lately, three times, will tell of this change too.
constexpr Duration kLocalAnnouncementTimeout = 3s;
/// After a start the entries are asked first. They know the tables after 0.3 s,
/// after 1.5 s where all of them have started too.
constexpr Duration kMinReadDelay = 2500ms;
constexpr Duration kMaxReadDelay = 5s;
/// Entries that still know nothing so long after this host's start may have
/// lost the store, which this host may reach.
constexpr Duration kMaxAwaitTime = 10s;

bool IsRecent(TimePoint at, Duration age, TimePoint now) {
  return at != TimePoint() && now - at < age;
}

}  // namespace

bool TakeTold(ChangeWatch& watch,
              bool same_data_center,
              uint64_t revision,
              TimePoint now) {
  watch.m_told_at = now;
  if (same_data_center)
    watch.m_told_near_at = now;
  if (watch.m_known && revision <= watch.m_weights_revision)
    return false;
  return same_data_center ||
         !IsRecent(watch.m_told_near_at, kLocalAnnouncementTimeout, now);
}

bool LeavesStoreAlone(const ChangeWatch& watch, double spread, TimePoint now) {
  if (IsRecent(watch.m_told_at, kAnnouncementTimeout, now) && watch.m_known)
    return true;
  const auto read_delay =
      kMinReadDelay + std::chrono::duration_cast<Duration>(
                          (kMaxReadDelay - kMinReadDelay) * spread);
  const TimePoint awaited_at =
      std::min<TimePoint>(watch.m_awaited_at, watch.m_started + kMaxAwaitTime);
  return now - std::max({watch.m_started, watch.m_told_at, awaited_at}) <
         read_delay;
}

}  // namespace verbenalead::decide
