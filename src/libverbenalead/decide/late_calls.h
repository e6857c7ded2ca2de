#ifndef VERBENALEAD_DECIDE_LATE_CALLS_H_
#define VERBENALEAD_DECIDE_LATE_CALLS_H_

#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Whether calls of a service that can't be on time any more are turned away at
/// once.
///
/// Load: a pool above what it can do for seconds on end, and callers that come
/// back once. Harm: a second try waited for a quarter of a second for a place
/// that most often didn't come, and where it came, the place was missed by the
/// next caller, who could still have been on time. While calls that could be on
/// time are refused here, there is no place for those that can't; their callers
/// hear so at once. Where a burst is over within seconds, second tries come
/// when there is room again, so that they wait for it.
struct LateCalls {
  /// When a call that could have been on time was last refused, and since when
  /// that has gone on.
  std::optional<TimePoint> m_refused_at;
  TimePoint m_refused_since{};

  friend bool operator==(const LateCalls&, const LateCalls&) = default;
};

/// A pool that refused so lately is still full.
constexpr Duration kFullFor = 1s;
/// A pool that is full for longer isn't full of a burst.
constexpr Duration kBurst = 4s;

/// No place came for a call that could have been on time.
inline void NoteRefusedInTime(LateCalls& late, TimePoint now) {
  if (!late.m_refused_at || now - *late.m_refused_at >= kFullFor)
    late.m_refused_since = now;
  late.m_refused_at = now;
}

inline bool TurnsLateAway(const LateCalls& late, TimePoint now) {
  return late.m_refused_at && now - *late.m_refused_at < kFullFor &&
         now - late.m_refused_since >= kBurst;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LATE_CALLS_H_
