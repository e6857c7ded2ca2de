#ifndef VERBENALEAD_DECIDE_STORE_POLL_PACE_H_
#define VERBENALEAD_DECIDE_STORE_POLL_PACE_H_

#include <algorithm>

#include "base/time.h"
#include "decide/store/burst_pacer.h"

namespace verbenalead::decide {

/// Minimum time from a request for changes that is sent `now` to the next one,
/// if it is answered. `answering`: the previous request was answered.
///
/// Failure: the store is unavailable, or rejects this process, for many
/// seconds, and each failed request counts against the pacer's burst. Symptom:
/// after the store's return the first changes are delayed until the burst is
/// available again, and calls run by a configuration that has been replaced.
/// Failed requests aren't counted, so the whole burst is available at the first
/// answer.
inline Duration IntervalAfterRequest(BurstPacer& pacer,
                                     bool answering,
                                     TimePoint now) {
  return answering ? RecordRequest(pacer, now) : Duration();
}

/// Least pause after `failures` reads in a row that the same request would
/// repeat, because the answer can't be read or the store doesn't understand the
/// request.
///
/// Failure: a table can't be read for as long as another writer's row stands in
/// it. Symptom: all processes together read it hundreds of times a second, and
/// requests to the store are limited and paid for. The pause doubles up to two
/// seconds, within which the table is read after the row has gone.
constexpr Duration PauseAfterUnreadable(uint64_t failures) {
  constexpr Duration kFirst = 250ms;
  constexpr Duration kMost = 2s;
  Duration pause = kFirst;
  for (uint64_t doubled = 1; doubled < failures && pause < kMost; ++doubled)
    pause *= 2;
  return std::min(pause, kMost);
}

/// How a request for changes ended.
struct PollResult {
  TimePoint m_requested_at{};
  TimePoint m_ended_at{};
  bool m_answered = false;
};

/// When the next request is due: `interval` after the start of one that was
/// answered, and `pause` after the end of one that wasn't.
inline TimePoint NextRequestAt(const PollResult& result,
                               Duration interval,
                               Duration pause) {
  return result.m_answered ? result.m_requested_at + interval
                           : result.m_ended_at + pause;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_POLL_PACE_H_
