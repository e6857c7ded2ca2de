#ifndef VERBENALEAD_DECIDE_HEALTH_RECENT_COUNT_H_
#define VERBENALEAD_DECIDE_HEALTH_RECENT_COUNT_H_

#include <cmath>

#include "base/time.h"

namespace verbenalead::decide {

/// A number of events, each of which loses weight as it grows old.
struct RecentCount {
  double m_count = 0;
  TimePoint m_at{};

  friend bool operator==(const RecentCount&, const RecentCount&) = default;
};

/// Time in which the weight of an event falls to 1/e.
constexpr Duration kCountMemory = 10s;

/// Share of its weight that an event of `age` still has.
inline double WeightAt(Duration age) {
  return std::exp(-std::chrono::duration<double>(age) / kCountMemory);
}

inline double CountAt(const RecentCount& recent, TimePoint now) {
  return recent.m_count * WeightAt(now - recent.m_at);
}

inline void CountOne(RecentCount& recent, TimePoint now) {
  recent.m_count = CountAt(recent, now) + 1;
  recent.m_at = now;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_RECENT_COUNT_H_
