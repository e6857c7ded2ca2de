#ifndef VERBENALEAD_BASE_LOOP_LAG_H_
#define VERBENALEAD_BASE_LOOP_LAG_H_

#include <algorithm>

#include "base/time.h"

namespace verbenalead {

/// Tracks how late the timers of a process's event loop fire. The lag is the
/// time for which the loop did not run, because it was overloaded or the
/// process was not scheduled on a CPU.
struct LoopLag {
  Duration m_worst{};
  TimePoint m_worst_at{};

  friend bool operator==(const LoopLag&, const LoopLag&) = default;
};

/// How long the worst lag is retained. It must exceed the time for which a call
/// may receive no data, so that the log line of a call delayed by the lag still
/// reports it.
constexpr Duration kLagRetention = 5s;

/// Returns the worst lag recorded within the last kLagRetention.
inline Duration WorstLag(const LoopLag& lag, TimePoint now) {
  return now - lag.m_worst_at < kLagRetention ? lag.m_worst : Duration();
}

/// Records that a timer fired `lateness` after it was due. Negative values
/// count as 0.
inline void RecordLag(LoopLag& lag, Duration lateness, TimePoint now) {
  lateness = std::max(lateness, Duration());
  if (lateness >= WorstLag(lag, now))
    lag = {lateness, now};
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LOOP_LAG_H_
