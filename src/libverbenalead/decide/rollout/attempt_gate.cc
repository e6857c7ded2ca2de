#include "decide/rollout/attempt_gate.h"

namespace verbenalead::decide {

AdmitResult AdmitOrVoid(GateState& gate,
                        const Attempt& attempt,
                        uint64_t incarnation,
                        const Digest& wanted,
                        TimePoint now) {
  const AdmitResult result = Admit(gate, attempt, incarnation, wanted, now);
  if (result != AdmitResult::kAdmitted && result != AdmitResult::kDuplicate)
    VoidAttempt(gate, attempt, now);
  return result;
}

VoidReply HandleVoidRequest(GateState& gate,
                            const Attempt& attempt,
                            uint64_t incarnation,
                            TimePoint now) {
  if (incarnation != gate.m_incarnation)
    return VoidReply::kStarted;
  return VoidAttempt(gate, attempt, now) == VoidResult::kNeverStarted
             ? VoidReply::kNeverStarted
             : VoidReply::kStarted;
}

}  // namespace verbenalead::decide
