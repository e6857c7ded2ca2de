#ifndef VERBENALEAD_DECIDE_ATTEMPTS_RETRY_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_RETRY_H_

#include <cstdint>

#include "base/time.h"
#include "decide/attempts/retry_budget.h"
#include "model/call.h"
#include "model/outcome.h"

namespace verbenalead::decide {

/// How an attempt ended, as far as the entry can determine.
enum class AttemptVerdict {
  kCompleted,  ///< The whole answer arrived.
  kNotRun,     ///< The attempt did not run and never will.
  kFailed,     ///< The target reported that the attempt ran and failed.
  kInDoubt,    ///< The attempt may have run.
};

/// Whether to retry a call after an attempt has ended.
struct RetryDecision {
  bool m_retry = false;
  /// A retry was safe and allowed, but the retry budget was exhausted.
  bool m_over_budget = false;
  /// Without a retry: the outcome reported to the caller.
  model::Outcome m_outcome = model::Outcome::kCompleted;
};

/// Maximum number of attempts of a call. Each goes to another target: if three
/// targets could not run the call, a fourth is unlikely to, and a further
/// attempt would only delay the error.
constexpr uint32_t kMaxAttempts = 3;

/// Facts about an ended attempt that decide on a retry.
struct FinishedAttempt {
  AttemptVerdict m_end = AttemptVerdict::kInDoubt;
  /// Number of attempts of the call so far, including this one.
  uint32_t m_number = 1;
  /// Some bytes of the answer have been sent to the caller, so that the answer
  /// of a second attempt can't be appended.
  bool m_answer_started = false;
  /// The target refused the call at once, without running it. Sending the call
  /// to the next target costs a round trip and no work, so this retry is not
  /// charged to the budget.
  bool m_refused_without_run = false;
};

/// Decides whether to retry `call` after `attempt`. A retry takes a token from
/// `budget`, except after a refusal (m_refused_without_run).
RetryDecision DecideRetry(const model::Call& call,
                          const FinishedAttempt& attempt,
                          RetryBudget& budget,
                          TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_RETRY_H_
