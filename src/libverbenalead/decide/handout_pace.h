#ifndef VERBENALEAD_DECIDE_HANDOUT_PACE_H_
#define VERBENALEAD_DECIDE_HANDOUT_PACE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "base/time.h"

namespace verbenalead::decide {

/// How fast an entry hands tables to near ones.
///
/// Load: all processes start at once, with 100 entries in a data centre, and
/// one of them has tables of 150 KB that the others lack. Harm: it handed them
/// to all others at the same time, its link was full, and nobody had them
/// before its end; answers were given up as too late, and all turned to the
/// store. Few get them at once now, the others are put off,
/// and find more entries that have them a moment later.
struct HandoutPace {
  /// Until when the link has something to do with what was handed out.
  TimePoint m_busy_until{};
};

/// A part of the narrowest links of entries, in bytes a second.
constexpr uint64_t kHandoutRate = 2'000'000;
/// Tables that may be on their way beside a new one.
constexpr int kMostHandouts = 3;
/// The least and longest pause before one that was put off asks again: a
/// hundred that ask take a few hundredths of a core.
constexpr Duration kLeastPutOff = 100ms;
constexpr Duration kMostPutOff = 300ms;

/// Whether a table of `bytes` is handed out now, to an entry that may be put
/// off.
inline bool TakeHandout(HandoutPace& pace, uint64_t bytes, TimePoint now) {
  const Duration transfer_time = std::chrono::duration_cast<Duration>(
      std::chrono::microseconds(bytes * 1'000'000 / kHandoutRate));
  if (pace.m_busy_until - now > kMostHandouts * transfer_time)
    return false;
  pace.m_busy_until = std::max(pace.m_busy_until, now) + transfer_time;
  return true;
}

/// How long to wait after having been put off; those that were put off together
/// come back apart.
inline Duration PutOffFor(std::mt19937_64& random) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      kLeastPutOff.count(), kMostPutOff.count())(random));
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HANDOUT_PACE_H_
