#include "decide/retry.h"

namespace verbenalead::decide {
namespace {

model::Outcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kCompleted:
      return model::Outcome::kCompleted;
    case AttemptEnd::kNotRun:
      return model::Outcome::kRefused;
    case AttemptEnd::kFailed:
      return model::Outcome::kFailed;
    case AttemptEnd::kDoubtful:
      return model::Outcome::kUnknown;
  }
  return model::Outcome::kUnknown;
}

}  // namespace

RetryDecision AfterAttempt(const model::Call& call,
                           AttemptEnd end,
                           uint32_t attempts,
                           bool answer_begun,
                           TimePoint now) {
  const bool safe =
      end == AttemptEnd::kNotRun ||
      (call.idempotent() && end == AttemptEnd::kDoubtful && !answer_begun);
  const bool worthwhile = attempts < kMaxAttempts && now < call.deadline();
  return {safe && worthwhile, OutcomeOf(end)};
}

}  // namespace verbenalead::decide
