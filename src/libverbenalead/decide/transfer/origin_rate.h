#ifndef VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RATE_H_
#define VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RATE_H_

#include <algorithm>
#include <deque>

#include "base/time.h"

namespace verbenalead::decide {

/// The rate of the origin as seen in completed fetches of all hosts.
///
/// Load: an origin that sends at half of its configured rate. Harm: by the
/// configured rate a newer version seems to be complete before the older one
/// becomes binding, the older one is given up, and neither is in force in time.
struct OriginRate {
  /// Recent completions without a long gap between them.
  std::deque<TimePoint> m_completions;
};

/// After a longer gap the origin was idle or unavailable, so that the gap says
/// nothing of its rate.
constexpr Duration kMaxCompletionGap = 1s;
/// With fewer completions, a burst of fetches that end together looks like a
/// much higher or lower rate.
constexpr size_t kMinCompletions = 16;
constexpr size_t kMaxCompletions = 32;

/// A host completed the fetch of a chunk from the origin.
inline void RecordCompletion(OriginRate& rate, TimePoint now) {
  if (!rate.m_completions.empty() &&
      now - rate.m_completions.back() > kMaxCompletionGap)
    rate.m_completions.clear();
  rate.m_completions.push_back(now);
  if (rate.m_completions.size() > kMaxCompletions)
    rate.m_completions.pop_front();
}

/// Time that the origin needs for a chunk: `configured`, or the observed time
/// if that is longer.
inline Duration OriginInterval(const OriginRate& rate, Duration configured) {
  if (rate.m_completions.size() < kMinCompletions)
    return configured;
  const Duration observed =
      (rate.m_completions.back() - rate.m_completions.front()) /
      static_cast<int64_t>(rate.m_completions.size() - 1);
  return std::max(configured, observed);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ORIGIN_RATE_H_
