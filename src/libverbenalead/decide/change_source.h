#ifndef VERBENALEAD_DECIDE_CHANGE_SOURCE_H_
#define VERBENALEAD_DECIDE_CHANGE_SOURCE_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// What a target process knows of the operator's changes, and of who tells it.
///
/// Load: 127 target processes, a configuration of 390 KB, links of 32 Mbit/s to
/// the store. Harm: where each read the store, at its start or when weights
/// were declared, the links were full for seconds and nobody heard of anything.
/// Entries tell targets what has changed and hand it on, 3 KB of it; the store
/// is asked only where no entry can tell.
struct ChangeWatch {
  TimePoint m_started{};
  /// The rows are known; else any entry that tells has something new.
  bool m_known = false;
  /// The newest change of declared weights that is known here.
  uint64_t m_weights_revision = 0;
  /// When an entry last told of its own, and when one of this data centre did.
  TimePoint m_told_at{};
  /// When an entry last said that it knows nothing yet.
  TimePoint m_awaited_at{};
  TimePoint m_told_near_at{};
};

/// An entry tells that it knows `revision`; true: its rows are to be taken
/// over. Entries of the store's own region hear first and tell all hosts at
/// once: where a near entry tells too, the rows come from that one, which hears
/// 0.4 s later at most.
bool TakeTold(ChangeWatch& watch,
              bool same_data_center,
              uint64_t revision,
              TimePoint now);

/// An entry lives but has yet to learn the rows itself: it has just started as
/// well, or the operator has written nothing yet.
inline void NoteAwaited(ChangeWatch& watch, TimePoint now) {
  watch.m_awaited_at = now;
}

/// Whether the store is to be left alone for now. `spread`, 0 to 1, is drawn by
/// each host for itself, so that those that start together don't ask together.
bool LeavesStoreAlone(const ChangeWatch& watch, double spread, TimePoint now);

/// Least time between two questions to the store that nobody asked for: 24
/// hosts that read each of 25 quick changes filled the links between regions
/// for 5 s, and entries heard of changes 3 s late.
constexpr Duration kUntoldInterval = 1500ms;

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CHANGE_SOURCE_H_
