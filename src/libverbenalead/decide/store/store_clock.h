#ifndef VERBENALEAD_DECIDE_STORE_STORE_CLOCK_H_
#define VERBENALEAD_DECIDE_STORE_STORE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "model/store_time.h"

namespace verbenalead::decide {

/// Converts the store's times to the local clock.
///
/// The exchange itself doesn't date an answer well: a query that the store
/// holds open for a second is answered long after it was sent, and the answer
/// may be delayed on its way back. The store's steady clock dates the answer
/// well, once a single quick exchange has shown the offset of that clock from
/// the local one.
struct StoreClock {
  /// The era that the offset holds for. With the offset of another era a proof
  /// could be dated too late, and the lease on keys would last too long.
  uint64_t m_era = 0;
  /// Local time minus the store's time: the largest lower bound of all
  /// exchanges so far, which is the tightest one.
  std::optional<Duration> m_offset;
};

/// Local time of an answer that the store dates `answered`, to a query sent at
/// `requested_at`. Never later than the true time: the store answers after the
/// query was sent, so each exchange gives a lower bound of the offset, and the
/// largest bound is the best.
inline Duration AnsweredAt(StoreClock& clock,
                           Duration requested_at,
                           model::StoreTime answered) {
  if (answered.m_era < clock.m_era)
    return requested_at;
  if (answered.m_era > clock.m_era)
    clock = {answered.m_era, std::nullopt};
  const Duration bound = requested_at - answered.m_time;
  clock.m_offset = std::max(clock.m_offset.value_or(bound), bound);
  return answered.m_time + *clock.m_offset;
}

/// Local time of `time`; absent if the offset of its era is not known.
inline std::optional<Duration> ToLocal(const StoreClock& clock,
                                       model::StoreTime time) {
  if (!clock.m_offset || clock.m_era != time.m_era)
    return std::nullopt;
  return time.m_time + *clock.m_offset;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_STORE_CLOCK_H_
