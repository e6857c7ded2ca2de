#ifndef VERBENALEAD_DECIDE_STORE_BURST_PACER_H_
#define VERBENALEAD_DECIDE_STORE_BURST_PACER_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Limits the rate of requests but lets a short burst pass without delay
/// (generic cell rate algorithm). Used for fetching configuration from its
/// source.
///
/// Load: a configuration of 100 KB that changes five times a second for several
/// seconds, or a single change that has to take effect at once. Harm: with a
/// fixed interval at each hop, a single change is delayed by the sum of the
/// intervals on its path.
struct BurstPacer {
  uint32_t m_burst = 1;
  Duration m_interval{};
  /// Time from which the whole burst is available again if no further request
  /// is sent.
  TimePoint m_full_burst_at{};
};

/// Records a request sent at `now`. Returns how long the next one has to wait:
/// at most one interval.
///
/// Failure: requests that fail are repeated without regard to the wait.
/// Symptom: each adds to it, and after the first one that is answered, changes
/// stay unread for seconds.
inline Duration RecordRequest(BurstPacer& pacer, TimePoint now) {
  pacer.m_full_burst_at =
      std::min(std::max(pacer.m_full_burst_at, now) + pacer.m_interval,
               now + (pacer.m_burst + 1) * pacer.m_interval);
  return std::max<Duration>(Duration(), pacer.m_full_burst_at - now -
                                            pacer.m_burst * pacer.m_interval);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_BURST_PACER_H_
