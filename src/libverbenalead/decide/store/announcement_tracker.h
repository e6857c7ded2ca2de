#ifndef VERBENALEAD_DECIDE_STORE_ANNOUNCEMENT_TRACKER_H_
#define VERBENALEAD_DECIDE_STORE_ANNOUNCEMENT_TRACKER_H_

#include "base/time.h"
#include "model/revision.h"

namespace verbenalead::decide {

/// Tracks which of the operator's changes a target process has received and
/// which entries have announced theirs, and decides whether the process fetches
/// rows from an entry or reads the store.
///
/// Load: 127 target processes, a configuration of 390 KB, and links of
/// 32 Mbit/s to the store. Harm: when each process read the store at its start
/// or after a declaration of weights, the links were saturated for seconds and
/// no process received any change. Instead, entries announce changes to targets
/// and serve the changed rows, 3 KB; a process reads the store only if no entry
/// can serve them.
struct AnnouncementTracker {
  TimePoint m_started{};
  /// Whether the operator's rows are known. Until they are, every announcement
  /// counts as new.
  bool m_known = false;
  /// Revision of the newest change of declared weights that is known here.
  model::Revision m_weights_revision;
  /// When an entry last announced its revision; m_local_announced_at is the
  /// same for entries of this data centre only.
  TimePoint m_announced_at{};
  /// When an entry last answered that it has no rows yet.
  TimePoint m_rows_missing_at{};
  TimePoint m_local_announced_at{};
};

/// Records that an entry announced `revision` as the newest one it has. Returns
/// whether to fetch the rows from that entry.
///
/// Entries in the store's region receive a change first and announce it to all
/// hosts at once. While entries of this data centre announce too, only their
/// announcements cause a fetch: they receive the change at most 0.4 s later.
/// Otherwise all hosts of the other regions would fetch the rows from a remote
/// entry at the same moment.
bool HandleAnnouncement(AnnouncementTracker& tracker,
                        bool same_data_center,
                        model::Revision revision,
                        TimePoint now);

/// Records that an entry answered but has no rows yet: it has just started as
/// well, or the operator has not written a configuration.
inline void RecordMissingRows(AnnouncementTracker& tracker, TimePoint now) {
  tracker.m_rows_missing_at = now;
}

/// Whether this process must not read the store for now, because an entry is
/// expected to send it the rows. `spread`, 0 to 1, determines how long it waits
/// for the entries: 0 the shortest time, 1 the longest. Each process chooses it
/// at random, so that processes that start together do not read the store at
/// the same moment.
bool DefersStoreRead(const AnnouncementTracker& tracker,
                     double spread,
                     TimePoint now);

/// Minimum time between two reads of the store by a host that receives no
/// announcements. When 24 hosts read each of 25 quick changes, they saturated
/// the links between regions for 5 s, and entries received changes 3 s late.
constexpr Duration kUnannouncedReadInterval = 1500ms;

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_ANNOUNCEMENT_TRACKER_H_
