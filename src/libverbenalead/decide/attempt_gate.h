#ifndef VERBENALEAD_DECIDE_ATTEMPT_GATE_H_
#define VERBENALEAD_DECIDE_ATTEMPT_GATE_H_

#include "decide/attempt_judge.h"
#include "decide/gate.h"

namespace verbenalead::decide {

/// Enter(), and on a refusal makes the attempt void. The entry tells its caller
/// "not run" by the refusal; a doubled or late copy of the message would
/// otherwise be let in once there is room, and run after all.
EnterResult EnterOnce(GateState& gate,
                      const Attempt& attempt,
                      uint64_t incarnation,
                      const Digest& wanted,
                      TimePoint now);

/// What the target replies to the question whether `attempt`, addressed to
/// `incarnation`, has started. An earlier incarnation may have run it, and this
/// one can't tell: that counts as started.
VoidReply AnswerVoid(GateState& gate,
                     const Attempt& attempt,
                     uint64_t incarnation,
                     TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPT_GATE_H_
