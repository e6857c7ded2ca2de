#include "links/rate_limit_report.h"

#include <algorithm>

namespace verbenalead::links {
namespace {

/// Time for which the end of a limit is reported, so that the loss of some
/// datagrams loses no report.
constexpr Duration kEndReportLifetime = 5s;

}  // namespace

std::optional<RateLimitReport> ReportOf(const decide::RateLimit& limit,
                                        TimePoint now) {
  const Duration age = std::max(Duration(), now - limit.m_observed_at);
  if (!limit.m_rate && (!limit.m_was_limited || age > kEndReportLifetime))
    return std::nullopt;
  return RateLimitReport{limit.m_rate, age};
}

decide::RateLimit FromReport(const RateLimitReport& report, TimePoint now) {
  return {report.m_rate, now - report.m_age, true};
}

}  // namespace verbenalead::links
