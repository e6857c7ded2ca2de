#include "decide/store/announcement_tracker.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Entries of the same data centre announce their revision once a second,
/// remote entries every two seconds. After this time without any announcement,
/// no entry is assumed to be available.
constexpr Duration kAnnouncementTimeout = 5s;
/// An entry of the same data centre that has announced within this time, three
/// of its intervals, is expected to announce the current change as well.
constexpr Duration kLocalAnnouncementTimeout = 3s;
/// The store is read only after entries have had a time between these bounds to
/// serve the rows. Entries know the tables 0.3 s after their start, or 1.5 s
/// after it if all of them have started too.
constexpr Duration kMinReadDelay = 2500ms;
constexpr Duration kMaxReadDelay = 5s;
/// If entries have no rows this long after the start of this host, they may
/// have lost the store while this host can reach it. Their answers then no
/// longer delay the read.
constexpr Duration kMaxAwaitTime = 10s;

bool IsRecent(TimePoint at, Duration age, TimePoint now) {
  return at != TimePoint() && now - at < age;
}

}  // namespace

bool HandleAnnouncement(AnnouncementTracker& tracker,
                        bool same_data_center,
                        model::Revision revision,
                        TimePoint now) {
  tracker.m_announced_at = now;
  if (same_data_center)
    tracker.m_local_announced_at = now;
  if (tracker.m_known && revision <= tracker.m_weights_revision)
    return false;
  return same_data_center || !IsRecent(tracker.m_local_announced_at,
                                       kLocalAnnouncementTimeout, now);
}

bool DefersStoreRead(const AnnouncementTracker& tracker,
                     double spread,
                     TimePoint now) {
  if (IsRecent(tracker.m_announced_at, kAnnouncementTimeout, now) &&
      tracker.m_known)
    return true;
  const auto read_delay =
      kMinReadDelay + std::chrono::duration_cast<Duration>(
                          (kMaxReadDelay - kMinReadDelay) * spread);
  const TimePoint awaited_at = std::min<TimePoint>(
      tracker.m_rows_missing_at, tracker.m_started + kMaxAwaitTime);
  return now -
             std::max({tracker.m_started, tracker.m_announced_at, awaited_at}) <
         read_delay;
}

}  // namespace verbenalead::decide
