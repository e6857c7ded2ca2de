#ifndef VERBENALEAD_DECIDE_ATTEMPTS_RETRY_WINDOW_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_RETRY_WINDOW_H_

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

/// Calls and retries of one entry at one service, by the time at which they
/// count.
///
/// Load: many replicas fail at once, and each entry retries the calls it lost.
/// Harm: without a limit, the retries of all entries would load the remaining
/// replicas with several times the usual rate.
///
/// No entry knows what the others send, or what a process that was killed on
/// its host had sent. So each earns retries as time passes: half the ratio for
/// each of its calls, and half of its equal share of the slack for each window
/// that it has run. In any window it may send what it has earned since one
/// window before that one began. What is earned adds up, whichever process on
/// whichever host earns it: in two windows, all processes of all hosts together
/// earn half the ratio for each call and the slack once. A process that starts
/// therefore has earned nothing, and callers that move to another entry don't
/// count twice. The half of the two windows' calls is at most the calls of the
/// busier one, by which the total is limited.
struct RetryWindow {
  /// Parts of a window. A window is judged from the beginning of a part.
  static constexpr int64_t kIntervals = 20;
  /// Parts that are kept: those of the judged windows and of the window before
  /// the earliest of them.
  static constexpr size_t kKeptIntervals = 2 * kIntervals + 4;
  struct Interval {
    int64_t m_number = -1;
    uint32_t m_calls = 0;
    uint32_t m_retries = 0;
  };
  /// Retries that were allowed and may still arrive at any time.
  uint32_t m_pending = 0;
  /// Start of the process, before which it earned nothing.
  TimePoint m_started_at{};
  /// Ring of the last parts.
  std::array<Interval, kKeptIntervals> m_intervals{};
};

/// Whether one more retry is within the limit, and what that was decided by:
/// the judged window that is closest to its limit.
struct RetryDecision {
  bool m_allowed = false;
  /// Calls that count for the window.
  uint32_t m_calls = 0;
  /// Retries that arrived in the window or may still arrive, without this one.
  uint32_t m_retries = 0;
  /// Retries that this entry may send in the window.
  double m_limit = 0;
  /// Time since the beginning of the window.
  Duration m_age{};

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

void CountCall(RetryWindow& window,
               const RetryAllowance& allowance,
               TimePoint now);
/// Allows one more retry if it is within the allowance. It is pending, and
/// counts in each window, until SettleRetry() or ReturnRetry() is called for
/// it. `entries` is the maximum number of entries.
RetryDecision TryTakeRetry(RetryWindow& window,
                           const RetryAllowance& allowance,
                           uint32_t entries,
                           TimePoint now);
/// A pending retry has arrived, or can't arrive after `now`.
void SettleRetry(RetryWindow& window,
                 const RetryAllowance& allowance,
                 TimePoint now);
/// A pending retry was not sent.
void ReturnRetry(RetryWindow& window);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_RETRY_WINDOW_H_
