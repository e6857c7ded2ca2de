#ifndef VERBENALEAD_ENTRY_CALL_TIMES_H_
#define VERBENALEAD_ENTRY_CALL_TIMES_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::entry {

/// Timing of one call, for its log line and for hedging: a second attempt is
/// made when the replica has been silent since `m_last_seen_at` for too long.
struct CallTimes {
  /// Total time that all attempts waited for a slot at a replica.
  Duration m_slot_wait{};
  /// From the start of the call to its first event; absent: no event yet.
  std::optional<Duration> m_first_event;
  /// The longest pause between two events.
  Duration m_longest_pause{};
  TimePoint m_last_event{};
  /// When data from the current replica was last received, or when this entry
  /// last began to wait for its answer, whichever is later.
  TimePoint m_last_seen_at{};
  /// This entry waits for data from the replica. False: nothing is being read,
  /// for instance because the caller is slow to take the data already read; the
  /// replica isn't silent then.
  bool m_awaiting_data = false;
};

/// Records that this entry waits for data from the replica from `now` on.
inline void StartAwaitingData(CallTimes& times, TimePoint now) {
  times.m_last_seen_at = now;
  times.m_awaiting_data = true;
}

/// Records that an event was received for a call that began at `call_start`.
inline void RecordEvent(CallTimes& times, TimePoint call_start, TimePoint now) {
  if (!times.m_first_event)
    times.m_first_event = now - call_start;
  else
    times.m_longest_pause =
        std::max<Duration>(times.m_longest_pause, now - times.m_last_event);
  times.m_last_event = now;
  times.m_last_seen_at = now;
}

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_TIMES_H_
