#ifndef VERBENALEAD_BASE_LOOP_LAG_H_
#define VERBENALEAD_BASE_LOOP_LAG_H_

#include <algorithm>

#include "base/time.h"

namespace verbenalead {

/// How late a process's own timers fire: the time for which its loop stood
/// still, as it had too much to do or was given no processor.
struct LoopLag {
  Duration m_worst{};
  TimePoint m_worst_at{};

  friend bool operator==(const LoopLag&, const LoopLag&) = default;
};

/// How long a lag is remembered: longer than a call that it may have harmed
/// goes on in silence.
constexpr Duration kLagRemembered = 5s;

/// The worst lag of the last kLagRemembered.
inline Duration WorstLag(const LoopLag& lag, TimePoint now) {
  return now - lag.m_worst_at < kLagRemembered ? lag.m_worst : Duration();
}

/// A timer fired `late` after it was due.
inline void NoteLag(LoopLag& lag, Duration late, TimePoint now) {
  late = std::max(late, Duration());
  if (late >= WorstLag(lag, now))
    lag = {late, now};
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LOOP_LAG_H_
