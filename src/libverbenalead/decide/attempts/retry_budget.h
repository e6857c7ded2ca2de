#ifndef VERBENALEAD_DECIDE_ATTEMPTS_RETRY_BUDGET_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_RETRY_BUDGET_H_

#include <algorithm>

namespace verbenalead::decide {

/// A token bucket that limits retries to a share of the first attempts.
///
/// Load: an outage of half of a pool, in which calls to the failed half are
/// retried.
/// Harm: without the limit, each call would be attempted at up to three
/// targets, and the working half, whose usual load has already doubled, would
/// receive up to three times that load. With the limit there are fewer than 1.1
/// attempts per call.
struct RetryBudget {
  double m_tokens = 10;
};

/// Retries allowed for each first attempt. The failure of a single target fails
/// a few calls in a thousand, far fewer than this; a pool at 0.9 of its
/// capacity has a tenth to spare for retries.
constexpr double kRetriesPerAttempt = 0.09;
/// Capacity of the bucket: enough to retry the calls that one target was
/// running when it failed.
constexpr double kMaxRetryTokens = 10;

inline void CountFirstAttempt(RetryBudget& budget) {
  budget.m_tokens =
      std::min(kMaxRetryTokens, budget.m_tokens + kRetriesPerAttempt);
}

/// Takes the token of one retry. Returns whether the budget had one.
inline bool TryTakeRetryToken(RetryBudget& budget) {
  if (budget.m_tokens < 1)
    return false;
  budget.m_tokens -= 1;
  return true;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_RETRY_BUDGET_H_
