#ifndef VERBENALEAD_LINKS_RATE_LIMIT_REPORT_H_
#define VERBENALEAD_LINKS_RATE_LIMIT_REPORT_H_

#include <optional>

#include "decide/limits/rate_limit.h"

namespace verbenalead::links {

/// What the sender of a message knows about the rate limit of a replica. It
/// carries the age of the observation, as processes have no common clock.
struct RateLimitReport {
  /// Requests per second; absent: the replica no longer names a limit.
  std::optional<double> m_rate;
  Duration m_age{};

  friend bool operator==(const RateLimitReport&,
                         const RateLimitReport&) = default;
};

/// The report of `limit`, or nothing if the replica has named no limit for so
/// long that every process has heard of it.
std::optional<RateLimitReport> ReportOf(const decide::RateLimit& limit,
                                        TimePoint now);
decide::RateLimit FromReport(const RateLimitReport& report, TimePoint now);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_RATE_LIMIT_REPORT_H_
