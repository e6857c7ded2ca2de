#ifndef VERBENALEAD_DECIDE_RETRY_H_
#define VERBENALEAD_DECIDE_RETRY_H_

#include <cstdint>

#include "base/time.h"
#include "decide/retry_budget.h"
#include "model/call.h"
#include "model/outcome.h"

namespace verbenalead::decide {

/// How an attempt ended, as far as the entry can know.
enum class AttemptEnd {
  kCompleted,  ///< The whole answer arrived.
  kNotRun,     ///< It did not run and never will.
  kFailed,     ///< The target says that it ran and failed.
  kDoubtful,   ///< It may have run.
};

/// What to do after an attempt has ended.
struct RetryDecision {
  bool m_retry = false;
  /// A retry was safe and worthwhile, but the budget was spent.
  bool m_over_budget = false;
  /// Without a retry: what the caller is told.
  model::Outcome m_outcome = model::Outcome::kCompleted;
};

/// Attempts of one call at most. Each is another target; if three could not
/// take it, a fourth is unlikely to, and the caller has waited enough.
constexpr uint32_t kMaxAttempts = 3;

/// What is known of an attempt that has ended.
struct EndedAttempt {
  AttemptEnd m_end = AttemptEnd::kDoubtful;
  /// Attempts of the call so far, this one included.
  uint32_t m_number = 1;
  /// Any byte has gone to the caller: a second attempt's answer must not be
  /// spliced onto it.
  bool m_answer_begun = false;
  /// The target itself said at once that it did not run the call. Asking the
  /// next one costs a round trip and no work, so it is free of the budget.
  bool m_turned_away = false;
};

/// Decides on the call's next step. A retry takes its token from `budget`.
RetryDecision AfterAttempt(const model::Call& call,
                           const EndedAttempt& attempt,
                           RetryBudget& budget,
                           TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RETRY_H_
