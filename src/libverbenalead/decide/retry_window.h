#ifndef VERBENALEAD_DECIDE_RETRY_WINDOW_H_
#define VERBENALEAD_DECIDE_RETRY_WINDOW_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace verbenalead::decide {

/// Limit on the retries that all entries together send to one service within a
/// sliding window.
struct RetryAllowance {
  /// Retries allowed for each call.
  double m_ratio = 0.2;
  /// Retries allowed in addition, for all entries together.
  double m_slack = 100;
  Duration m_window = 10s;

  friend bool operator==(const RetryAllowance&,
                         const RetryAllowance&) = default;
};

/// Counts of the calls and retries of one entry at one service, for a sliding
/// window that is divided into parts.
///
/// Load: many replicas fail at once, and each entry retries the calls it lost.
/// Harm: without a limit, the retries of all entries would load the remaining
/// replicas with several times the usual rate. Each entry applies the ratio to
/// its own calls and takes an equal share of the slack, computed from the
/// maximum number of entries, so that the total keeps to the allowance without
/// any communication between entries.
struct RetryWindow {
  static constexpr size_t kIntervals = 10;
  struct Interval {
    int64_t m_number = -1;
    uint32_t m_calls = 0;
    uint32_t m_retries = 0;
  };
  /// Ring of one part more than a window has, so that a retry is counted for at
  /// least a whole window.
  std::array<Interval, kIntervals + 1> m_intervals{};
};

/// Whether one more retry is within the limit, and what that was decided by.
struct RetryDecision {
  bool m_allowed = false;
  /// Calls and retries in the window; the latter without this one.
  uint32_t m_calls = 0;
  uint32_t m_retries = 0;
  /// Retries that this entry may send in the window.
  double m_limit = 0;

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

void CountCall(RetryWindow& window,
               const RetryAllowance& allowance,
               TimePoint now);
/// Counts one more retry if the allowance permits it. `entries` is the maximum
/// number of entries.
RetryDecision TryTakeRetry(RetryWindow& window,
                           const RetryAllowance& allowance,
                           uint32_t entries,
                           TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RETRY_WINDOW_H_
