#ifndef VERBENALEAD_DECIDE_ATTEMPTS_HEDGE_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_HEDGE_H_

#include <optional>

#include "base/time.h"
#include "decide/admission/call_progress.h"
#include "model/route.h"

namespace verbenalead::decide {

/// Time without output from the current replica after which the call is also
/// sent to a second replica (a hedge). Absent if the call must not be hedged.
///
/// Load: replicas that pause for a second or more, because their hosts are busy
/// or they read long prompts, while the pool is full. Harm: without a hedge the
/// caller waits for a replica that may be dead; if the silent replica were
/// dropped instead, the caller would lose an answer that would have come. So
/// the first replica keeps the call, and the hedge uses a slot and a retry only
/// after a silence that is longer than the pauses of a healthy replica.
std::optional<Duration> HedgeDelay(const CallProgress& progress,
                                   const model::Route& route);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_HEDGE_H_
