#ifndef VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_
#define VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_

#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Decides whether calls of a service that can no longer meet their latency
/// objective are refused at once (load shedding).
///
/// Load: a pool above its capacity for several seconds, and callers that retry
/// once. Harm: a retry waited a quarter of a second for a slot, usually in
/// vain; if it got one, it was late all the same and took the slot from a
/// caller who could still have been on time. So while even calls that could be
/// on time find no slot, late calls are refused without a wait.
struct LateCallShedding {
  /// When a call that could have been on time was last refused.
  std::optional<TimePoint> m_on_time_refused_at;

  friend bool operator==(const LateCallShedding&,
                         const LateCallShedding&) = default;
};

/// A pool that refused an on-time call within this time counts as still full.
constexpr Duration kSheddingHold = 1s;

/// Records that a call that could have been on time was refused for lack of a
/// slot.
inline void NoteOnTimeRefusal(LateCallShedding& shedding, TimePoint now) {
  shedding.m_on_time_refused_at = now;
}

inline bool ShedsLateCalls(const LateCallShedding& shedding, TimePoint now) {
  return shedding.m_on_time_refused_at &&
         now - *shedding.m_on_time_refused_at < kSheddingHold;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_
