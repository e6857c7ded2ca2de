#ifndef VERBENALEAD_DECIDE_RETRY_H_
#define VERBENALEAD_DECIDE_RETRY_H_

#include <cstdint>

#include "base/time.h"
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
  /// Without a retry: what the caller is told.
  model::Outcome m_outcome = model::Outcome::kCompleted;
};

/// Attempts of one call at most. Each is another target; if three could not
/// take it, a fourth is unlikely to, and the caller has waited enough.
constexpr uint32_t kMaxAttempts = 3;

/// Decides on the call's next step after its attempt number `attempts` ended
/// as `end`. `answer_begun` is true once any byte has gone to the caller: a
/// second attempt's answer must not be spliced onto it.
RetryDecision AfterAttempt(const model::Call& call,
                           AttemptEnd end,
                           uint32_t attempts,
                           bool answer_begun,
                           TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RETRY_H_
