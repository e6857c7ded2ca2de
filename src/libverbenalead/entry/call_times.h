#ifndef VERBENALEAD_ENTRY_CALL_TIMES_H_
#define VERBENALEAD_ENTRY_CALL_TIMES_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::entry {

/// Where the time of one call went, for its log line.
struct CallTimes {
  /// Waiting for places, of all attempts together.
  Duration m_waited{};
  /// From the call's beginning to its first event; absent: there was none.
  std::optional<Duration> m_first_event;
  /// The longest pause between two events.
  Duration m_longest_pause{};
  TimePoint m_last_event{};
  /// When the replica at work was last heard, or its answer last waited for.
  TimePoint m_heard_at{};
  /// An answer is waited for; false: the caller is slow to take what is there.
  bool m_listens = false;
};

/// From now on an answer is waited for.
inline void Listen(CallTimes& times, TimePoint now) {
  times.m_heard_at = now;
  times.m_listens = true;
}

/// An event came, of a call that began at `began`.
inline void NoteEvent(CallTimes& times, TimePoint began, TimePoint now) {
  if (!times.m_first_event)
    times.m_first_event = now - began;
  else
    times.m_longest_pause =
        std::max<Duration>(times.m_longest_pause, now - times.m_last_event);
  times.m_last_event = now;
  times.m_heard_at = now;
}

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_TIMES_H_
