#ifndef VERBENALEAD_DECIDE_ADMISSION_SLOT_TURNOVER_H_
#define VERBENALEAD_DECIDE_ADMISSION_SLOT_TURNOVER_H_

#include <cmath>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// How fast the slots of a replica come free, from the calls there over the
/// last seconds.
///
/// Load: calls queue for the slots of a full replica. Harm: a call whose turn
/// can't come in its time waits in vain and is refused late. The rate is
/// derived from the time for which calls hold their slots, and not from the
/// number of slots that came free, which is low while the replica is not full.
struct SlotTurnover {
  /// Time for which slots were in use, in slot seconds, and number of slots
  /// that came free; both decayed exponentially with kTurnoverDecay.
  double m_used_seconds = 0;
  double m_freed = 0;
  uint32_t m_calls = 0;
  TimePoint m_noted_at{};

  friend bool operator==(const SlotTurnover&, const SlotTurnover&) = default;
};

constexpr Duration kTurnoverDecay = 2s;
/// Number of freed slots below which the rate is unknown.
constexpr double kMinFreedSlots = 3;

/// Records the number of calls at the replica.
inline void NoteCalls(SlotTurnover& turnover, uint32_t calls, TimePoint now) {
  if (turnover.m_noted_at == TimePoint())
    turnover = SlotTurnover{0, 0, calls, now};
  const double seconds =
      std::chrono::duration<double>(now - turnover.m_noted_at).count();
  if (seconds > 0) {
    const double kept =
        std::exp(-std::chrono::duration<double>(seconds) / kTurnoverDecay);
    turnover.m_used_seconds =
        turnover.m_used_seconds * kept + turnover.m_calls * seconds;
    turnover.m_freed *= kept;
    turnover.m_noted_at = now;
  }
  if (calls < turnover.m_calls)
    turnover.m_freed += turnover.m_calls - calls;
  turnover.m_calls = calls;
}

/// Slots that come free in a second while all `slots` are in use; absent while
/// unknown. Calls that still run count as half ended: after a burst none has
/// ended yet, and the rate would be underestimated.
inline std::optional<double> FreeSlotRate(const SlotTurnover& turnover,
                                          uint32_t slots) {
  if (turnover.m_freed < kMinFreedSlots || turnover.m_used_seconds <= 0)
    return std::nullopt;
  return slots * (turnover.m_freed + turnover.m_calls / 2.0) /
         turnover.m_used_seconds;
}

/// Mean time for which a call holds its slot; absent while unknown.
inline std::optional<Duration> HoldingTime(const SlotTurnover& turnover) {
  const auto rate = FreeSlotRate(turnover, 1);
  if (!rate)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / *rate));
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_SLOT_TURNOVER_H_
