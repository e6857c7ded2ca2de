#include "decide/limits/rate_limit.h"

#include <algorithm>

namespace verbenalead::decide {

bool MergeRateLimit(RateLimit& known, const RateLimit& report) {
  if (report.m_observed_at <= known.m_observed_at)
    return false;
  if (report.m_rate == known.m_rate) {
    if (report.m_observed_at - known.m_observed_at >= kMinRateLimitRefresh)
      known.m_observed_at = report.m_observed_at;
    return false;
  }
  known.m_rate = report.m_rate;
  known.m_observed_at = report.m_observed_at;
  known.m_was_limited = true;
  return true;
}

}  // namespace verbenalead::decide
