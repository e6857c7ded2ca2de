#ifndef VERBENALEAD_DECIDE_BURST_PACE_H_
#define VERBENALEAD_DECIDE_BURST_PACE_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Lets some questions follow each other at once, and slows down those of a
/// longer row.
///
/// Load: a configuration of 100 KB that changes five times a second for
/// seconds, beside a single change that has to be known at once. Harm: with a
/// plain interval at each step on its way the single change waits for all of
/// them.
struct BurstPace {
  uint32_t m_burst = 1;
  Duration m_interval{};
  /// When the row would be used up if nothing was asked meanwhile.
  TimePoint m_used_until{};
};

/// A question is asked now. Returns how long the next one has to wait.
inline Duration TakeTurn(BurstPace& pace, TimePoint now) {
  pace.m_used_until = std::max(pace.m_used_until, now) + pace.m_interval;
  return std::max<Duration>(
      Duration(), pace.m_used_until - now - pace.m_burst * pace.m_interval);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_BURST_PACE_H_
