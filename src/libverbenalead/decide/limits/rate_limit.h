#ifndef VERBENALEAD_DECIDE_LIMITS_RATE_LIMIT_H_
#define VERBENALEAD_DECIDE_LIMITS_RATE_LIMIT_H_

#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// What a process knows about the rate limit of a replica: the requests per
/// second that the replica takes from all entries together.
struct RateLimit {
  /// Absent: the replica names no limit.
  std::optional<double> m_rate;
  /// When the replica was last seen to name this limit, or none. For an answer
  /// without a limit it is the time at which its request was sent, since the
  /// replica may have begun to name one after that.
  TimePoint m_observed_at{};
  /// The replica has named a limit before, even if it names none now.
  bool m_was_limited = false;

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

/// Difference below which a report of the same limit isn't newer. Processes
/// report to each other what they know, and each transmission makes a report
/// look newer by its delay. Without this difference a report that is passed
/// back and forth would stay new, and would cover an answer that names no limit
/// any more.
constexpr Duration kMinRateLimitRefresh = 1s;

/// Takes over `report` if it is newer than what is known. Returns true if the
/// limit has changed.
bool MergeRateLimit(RateLimit& known, const RateLimit& report);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_RATE_LIMIT_H_
