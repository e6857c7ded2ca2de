#include "decide/attempts/retry.h"

namespace verbenalead::decide {
namespace {

model::Outcome OutcomeOf(AttemptVerdict end) {
  switch (end) {
    case AttemptVerdict::kCompleted:
      return model::Outcome::kCompleted;
    case AttemptVerdict::kNotRun:
      return model::Outcome::kRefused;
    case AttemptVerdict::kFailed:
      return model::Outcome::kFailed;
    case AttemptVerdict::kInDoubt:
      return model::Outcome::kUnknown;
  }
  return model::Outcome::kUnknown;
}

/// Whether the call can be retried safely: the attempt did not run, or it may
/// have run, but the call is idempotent and no part of an answer has been sent
/// to the caller. A failure that the target reported is not retried.
bool IsSafe(const model::Call& call, const FinishedAttempt& attempt) {
  if (attempt.m_end == AttemptVerdict::kNotRun)
    return true;
  return call.idempotent() && attempt.m_end == AttemptVerdict::kInDoubt &&
         !attempt.m_answer_started;
}

}  // namespace

RetryDecision DecideRetry(const model::Call& call,
                          const FinishedAttempt& attempt,
                          RetryBudget& budget,
                          TimePoint now) {
  RetryDecision decision;
  decision.m_outcome = OutcomeOf(attempt.m_end);
  const bool may_retry =
      attempt.m_number < kMaxAttempts && now < call.deadline();
  if (!may_retry || !IsSafe(call, attempt))
    return decision;
  decision.m_retry = attempt.m_refused_without_run || TryTakeRetryToken(budget);
  decision.m_over_budget = !decision.m_retry;
  return decision;
}

}  // namespace verbenalead::decide
