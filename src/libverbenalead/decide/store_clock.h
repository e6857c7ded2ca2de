#ifndef VERBENALEAD_DECIDE_STORE_CLOCK_H_
#define VERBENALEAD_DECIDE_STORE_CLOCK_H_

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Tells when, by the own clock, the store gave an answer, or earlier.
///
/// A question that the store holds open for a second is answered long after it
/// was asked, and an answer may be held up on its way back: neither end of the
/// exchange dates the answer well. The store's steady clock does, once one
/// quick exchange has shown how far it stands from ours.
struct StoreClock {
  /// Ours less the store's, at least: the truest of all exchanges so far.
  std::optional<Duration> m_offset;
};

/// The own time, at the latest, at which the store gave the answer that it
/// dates `store_time`, to a question sent at `asked_at`. Never later than the
/// true time: the store answered after it was asked, so each exchange bounds
/// the offset from below, and the largest bound is the best one.
inline Duration AnsweredAt(StoreClock& clock,
                           Duration asked_at,
                           Duration store_time) {
  const Duration bound = asked_at - store_time;
  clock.m_offset = std::max(clock.m_offset.value_or(bound), bound);
  return store_time + *clock.m_offset;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_CLOCK_H_
