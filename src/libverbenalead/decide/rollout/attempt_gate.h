#ifndef VERBENALEAD_DECIDE_ROLLOUT_ATTEMPT_GATE_H_
#define VERBENALEAD_DECIDE_ROLLOUT_ATTEMPT_GATE_H_

#include "decide/attempts/attempt_judge.h"
#include "decide/rollout/gate.h"

namespace verbenalead::decide {

/// Calls Admit() and, if the gate refuses the attempt, makes the attempt void.
/// On a refusal, the entry answers "not run" to its caller. Without the void
/// mark, a duplicated or late copy of the message would be admitted as soon as
/// a slot is free, and the call would run after that answer.
AdmitResult AdmitOrVoid(GateState& gate,
                        const Attempt& attempt,
                        uint64_t incarnation,
                        const Digest& wanted,
                        TimePoint now);

/// Makes `attempt`, which was addressed to `incarnation`, void unless it has
/// started, and returns the target's reply. An attempt addressed to an earlier
/// incarnation is reported as started: that process may have run it, and this
/// process has no record of it.
VoidReply HandleVoidRequest(GateState& gate,
                            const Attempt& attempt,
                            uint64_t incarnation,
                            TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_ATTEMPT_GATE_H_
