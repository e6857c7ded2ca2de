#ifndef VERBENALEAD_DECIDE_ROLLOUT_READ_BACK_H_
#define VERBENALEAD_DECIDE_ROLLOUT_READ_BACK_H_

#include <optional>

#include "base/time.h"

namespace verbenalead::decide {

/// Longest time from the beginning of a read-back of staged chunks until the
/// order to load them. Staged chunks become corrupt without any write, and a
/// load of one that has been corrupt for three seconds is an error.
constexpr Duration kMaxReadBackAge = 2500ms;

/// Whether staged chunks may be loaded on the strength of a read-back that
/// began `age` ago, on a clock that also counts while the host is suspended;
/// nullopt: there was none.
///
/// Failure: the process is paused after the read-back, while it waits for its
/// turn or for running calls to end. Symptom: it goes on with the load, and the
/// engine answers with weights that have been corrupt all the while. The age is
/// checked after all waits, right before the order.
inline bool MayLoadAfterReadBack(std::optional<Duration> age) {
  return age && *age <= kMaxReadBackAge;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_READ_BACK_H_
