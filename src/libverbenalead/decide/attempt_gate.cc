#include "decide/attempt_gate.h"

namespace verbenalead::decide {

EnterResult EnterOnce(GateState& gate,
                      const Attempt& attempt,
                      uint64_t incarnation,
                      const Digest& wanted,
                      TimePoint now) {
  const EnterResult result = Enter(gate, attempt, incarnation, wanted, now);
  if (result != EnterResult::kEntered && result != EnterResult::kRepeated)
    VoidAttempt(gate, attempt, now);
  return result;
}

VoidReply AnswerVoid(GateState& gate,
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
