#ifndef VERBENALEAD_DECIDE_RETRY_BUDGET_H_
#define VERBENALEAD_DECIDE_RETRY_BUDGET_H_

#include <algorithm>

namespace verbenalead::decide {

/// A token bucket that allows retries as a share of first attempts.
///
/// Made for the outage of half a pool. Without it every call there tries three
/// targets, and the half that still works gets up to three times its load just
/// when it has twice the usual; with it all attempts stay under 1.1 per call.
struct RetryBudget {
  double m_tokens = 10;
};

/// Retries for each first attempt. A target that dies in ordinary times fails a
/// few calls in a thousand, far below; a tenth of the load is what a pool at
/// 0.9 has to spare.
constexpr double kRetriesPerAttempt = 0.09;
/// What a quiet time may save up: enough for the calls that one target was
/// running when it died.
constexpr double kMaxRetryTokens = 10;

inline void CountFirstAttempt(RetryBudget& budget) {
  budget.m_tokens =
      std::min(kMaxRetryTokens, budget.m_tokens + kRetriesPerAttempt);
}

/// Whether a retry may be made now; takes its token.
inline bool TakeRetry(RetryBudget& budget) {
  if (budget.m_tokens < 1)
    return false;
  budget.m_tokens -= 1;
  return true;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RETRY_BUDGET_H_
