#include "decide/attempts/retry_window.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Fraction of what was earned that is used. The rest covers windows that begin
/// within a part.
constexpr double kUsedShare = 0.9;
/// Retries may arrive this many parts after they were counted, so windows that
/// ended that long ago are judged as well.
constexpr int64_t kArrivalIntervals = 2;

Duration IntervalLength(const RetryAllowance& allowance) {
  return std::max<Duration>(allowance.m_window / RetryWindow::kIntervals, 1ms);
}

int64_t IntervalNumber(const RetryAllowance& allowance, TimePoint time) {
  return time.time_since_epoch() / IntervalLength(allowance);
}

RetryWindow::Interval& IntervalAt(RetryWindow& window, int64_t number) {
  RetryWindow::Interval& interval =
      window.m_intervals[static_cast<size_t>(number) %
                         RetryWindow::kKeptIntervals];
  if (interval.m_number != number)
    interval = {number, 0, 0};
  return interval;
}

/// Calls and retries since the beginning of the part `first`.
RetryWindow::Interval SumSince(const RetryWindow& window, int64_t first) {
  RetryWindow::Interval sum;
  for (const RetryWindow::Interval& interval : window.m_intervals) {
    if (interval.m_number < std::max<int64_t>(0, first))
      continue;
    sum.m_calls += interval.m_calls;
    sum.m_retries += interval.m_retries;
  }
  return sum;
}

/// Retries that were earned since `from`, of which `calls` were counted.
double EarnedSince(const RetryWindow& window,
                   const RetryAllowance& allowance,
                   uint32_t entries,
                   TimePoint from,
                   uint32_t calls,
                   TimePoint now) {
  const Duration run =
      std::max(Duration(), now - std::max(from, window.m_started_at));
  const double windows = std::chrono::duration<double>(run) /
                         std::chrono::duration<double>(allowance.m_window);
  const double share = allowance.m_slack / std::max<uint32_t>(1, entries);
  return (allowance.m_ratio * calls + share * windows) / 2;
}

/// Judges the window that begins with the part `first` and ends now.
RetryDecision Judge(const RetryWindow& window,
                    const RetryAllowance& allowance,
                    uint32_t entries,
                    int64_t first,
                    TimePoint now) {
  const Duration length = IntervalLength(allowance);
  const TimePoint begin(first * length);
  RetryDecision decision;
  decision.m_calls = SumSince(window, first - RetryWindow::kIntervals).m_calls;
  decision.m_retries = SumSince(window, first).m_retries + window.m_pending;
  decision.m_limit =
      kUsedShare * EarnedSince(window, allowance, entries,
                               begin - RetryWindow::kIntervals * length,
                               decision.m_calls, now);
  decision.m_age = now - begin;
  decision.m_allowed = decision.m_retries + 1 <= decision.m_limit;
  return decision;
}

double Room(const RetryDecision& decision) {
  return decision.m_limit - decision.m_retries;
}

}  // namespace

void CountCall(RetryWindow& window,
               const RetryAllowance& allowance,
               TimePoint now) {
  ++IntervalAt(window, IntervalNumber(allowance, now)).m_calls;
}

RetryDecision TryTakeRetry(RetryWindow& window,
                           const RetryAllowance& allowance,
                           uint32_t entries,
                           TimePoint now) {
  const int64_t current = IntervalNumber(allowance, now);
  RetryDecision tightest = Judge(window, allowance, entries, current, now);
  for (int64_t age = 1; age <= RetryWindow::kIntervals + kArrivalIntervals;
       ++age) {
    const RetryDecision other =
        Judge(window, allowance, entries, current - age, now);
    if (Room(other) < Room(tightest))
      tightest = other;
  }
  if (tightest.m_allowed)
    ++window.m_pending;
  return tightest;
}

void SettleRetry(RetryWindow& window,
                 const RetryAllowance& allowance,
                 TimePoint now) {
  --window.m_pending;
  ++IntervalAt(window, IntervalNumber(allowance, now)).m_retries;
}

void ReturnRetry(RetryWindow& window) {
  --window.m_pending;
}

}  // namespace verbenalead::decide
