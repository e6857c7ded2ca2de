#ifndef VERBENALEAD_DECIDE_ADMISSION_OVERLOAD_ESTIMATE_H_
#define VERBENALEAD_DECIDE_ADMISSION_OVERLOAD_ESTIMATE_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// What one entry sees of an overload of a service.
///
/// Load: callers that were refused return after the `Retry-After`. Harm: if all
/// return after the same time, however many they are, they meet the calls that
/// arrive then and are refused again. So the delay is the time that the service
/// needs for all calls that were refused or wait.
///
///     NoteStart(overload, now);
///     NoteRefusal(overload, now);
///     const auto duration = ExpectedOverload(overload, waiting, now);
struct OverloadEstimate {
  /// Calls that got a slot, and calls that were refused because there was none;
  /// decayed exponentially with kOverloadDecay.
  double m_started = 0;
  double m_refused = 0;
  TimePoint m_decayed_at{};
  /// Longest wait that a target stated of its queue within kStatedWaitLifetime.
  Duration m_stated_wait{};
  TimePoint m_stated_at{};

  friend bool operator==(const OverloadEstimate&,
                         const OverloadEstimate&) = default;
};

constexpr Duration kOverloadDecay = 2s;
constexpr Duration kStatedWaitLifetime = 1s;
/// Number of calls that must have got a slot for the estimate to be known.
constexpr double kMinStartedCalls = 3;

/// Part of a count of `age` that still counts.
inline double KeptShare(Duration age) {
  return std::exp(-std::chrono::duration<double>(age) / kOverloadDecay);
}

inline void DecayOverload(OverloadEstimate& overload, TimePoint now) {
  if (now <= overload.m_decayed_at)
    return;
  const double kept = KeptShare(now - overload.m_decayed_at);
  overload.m_started *= kept;
  overload.m_refused *= kept;
  overload.m_decayed_at = now;
}

inline void NoteStart(OverloadEstimate& overload, TimePoint now) {
  DecayOverload(overload, now);
  ++overload.m_started;
}

inline void NoteRefusal(OverloadEstimate& overload, TimePoint now) {
  DecayOverload(overload, now);
  ++overload.m_refused;
}

/// The wait that a target stated when it denied a call, if it still holds.
inline std::optional<Duration> StatedQueueWait(const OverloadEstimate& overload,
                                               TimePoint now) {
  if (overload.m_stated_at == TimePoint() ||
      now - overload.m_stated_at > kStatedWaitLifetime)
    return std::nullopt;
  return overload.m_stated_wait;
}

inline void NoteExpectedWait(OverloadEstimate& overload,
                             Duration wait,
                             TimePoint now) {
  const auto known = StatedQueueWait(overload, now);
  if (known && *known > wait)
    return;
  overload.m_stated_wait = wait;
  overload.m_stated_at = now;
}

/// Time that the service needs for the calls that this entry refused lately and
/// the `waiting` ones, at the rate at which this entry's calls got slots;
/// absent if too few calls got one.
inline std::optional<Duration> ExpectedOverload(
    const OverloadEstimate& overload,
    size_t waiting,
    TimePoint now) {
  const double kept =
      KeptShare(std::max(Duration(), now - overload.m_decayed_at));
  const double started = overload.m_started * kept;
  if (started < kMinStartedCalls)
    return std::nullopt;
  const double calls = overload.m_refused * kept + static_cast<double>(waiting);
  const Duration backlog =
      std::chrono::duration_cast<Duration>(kOverloadDecay * (calls / started));
  return std::max(backlog, StatedQueueWait(overload, now).value_or(Duration()));
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_OVERLOAD_ESTIMATE_H_
