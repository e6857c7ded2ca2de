#include "decide/retry_window.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Fraction of the allowance that is used. The rest covers retries that arrive
/// in a later window than the one in which they were counted.
constexpr double kUsedShare = 0.8;

int64_t PartNumber(const RetryAllowance& allowance, TimePoint now) {
  const Duration part = allowance.m_window / RetryWindow::kIntervals;
  return now.time_since_epoch() / std::max<Duration>(part, 1ms);
}

RetryWindow::Interval& PartAt(RetryWindow& window, int64_t number) {
  RetryWindow::Interval& part =
      window
          .m_intervals[static_cast<size_t>(number) % window.m_intervals.size()];
  if (part.m_number != number)
    part = {number, 0, 0};
  return part;
}

}  // namespace

void CountCall(RetryWindow& window,
               const RetryAllowance& allowance,
               TimePoint now) {
  ++PartAt(window, PartNumber(allowance, now)).m_calls;
}

RetryDecision TryTakeRetry(RetryWindow& window,
                           const RetryAllowance& allowance,
                           uint32_t entries,
                           TimePoint now) {
  const int64_t number = PartNumber(allowance, now);
  RetryWindow::Interval& current = PartAt(window, number);
  uint32_t calls = 0;
  uint32_t retries = 0;
  for (const RetryWindow::Interval& part : window.m_intervals) {
    const int64_t age = number - part.m_number;
    if (part.m_number < 0 || age < 0 ||
        age > static_cast<int64_t>(RetryWindow::kIntervals))
      continue;
    retries += part.m_retries;
    if (age < static_cast<int64_t>(RetryWindow::kIntervals))
      calls += part.m_calls;
  }
  const double allowed =
      kUsedShare * (allowance.m_ratio * calls +
                    allowance.m_slack / std::max<uint32_t>(1, entries));
  const RetryDecision decision{retries + 1 <= allowed, calls, retries, allowed};
  if (decision.m_allowed)
    ++current.m_retries;
  return decision;
}

}  // namespace verbenalead::decide
