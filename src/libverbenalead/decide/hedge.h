#ifndef VERBENALEAD_DECIDE_HEDGE_H_
#define VERBENALEAD_DECIDE_HEDGE_H_

#include <optional>

#include "base/time.h"
#include "decide/call_progress.h"
#include "model/route.h"

namespace verbenalead::decide {

/// How long the replica at work may say nothing before the call goes to another
/// one beside it; absent: it may not.
///
/// Load: replicas that pause for a second or more, on busy hosts or with long
/// prompts to read, while the pool is full. Harm: a caller waits for a replica
/// that may be dead, or, if the replica were dropped for its silence, is cut
/// off from an answer that would have come. So the first replica is kept, and
/// the second costs its place and a repeat only once silence has lasted longer
/// than a sound replica pauses.
std::optional<Duration> SilenceBeforeHedge(const CallProgress& progress,
                                           const model::Route& route);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEDGE_H_
