#ifndef VERBENALEAD_DECIDE_PLACEMENT_BEGIN_DELAY_H_
#define VERBENALEAD_DECIDE_PLACEMENT_BEGIN_DELAY_H_

#include <algorithm>

#include "base/time.h"

namespace verbenalead::decide {

/// How long calls that were sent to a replica wait until they begin.
///
/// Failure: the link to a replica is narrow and full, shortly before its
/// weights are barred. Symptom: a call is sent in time, waits on the link, and
/// begins on barred weights; its cancellation waits on the same link behind it
/// and comes too late. So such a call isn't sent: the calls before it show the
/// delay.
struct BeginDelay {
  /// The longest delay of late, and when it was seen.
  Duration m_longest{};
  TimePoint m_seen_at{};

  friend bool operator==(const BeginDelay&, const BeginDelay&) = default;
};

/// An observed delay counts for this long.
constexpr Duration kBeginDelayLifetime = 2s;
/// The delay on a link that fills up grows while a call is under way.
constexpr int kBeginDelayGrowth = 2;

/// Records that a call has waited for `waited`, until it began or was given up.
inline void RecordBeginDelay(BeginDelay& delay,
                             Duration waited,
                             TimePoint now) {
  if (waited < delay.m_longest && now - delay.m_seen_at < kBeginDelayLifetime)
    return;
  delay = {waited, now};
}

/// How long a call that is sent now has to be expected to wait. `waiting`: how
/// long the longest one of those that haven't begun has waited.
inline Duration ExpectedBeginDelay(const BeginDelay& delay,
                                   Duration waiting,
                                   TimePoint now) {
  const Duration recent = now - delay.m_seen_at < kBeginDelayLifetime
                              ? delay.m_longest
                              : Duration();
  return kBeginDelayGrowth * std::max(recent, waiting);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_PLACEMENT_BEGIN_DELAY_H_
